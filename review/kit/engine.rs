//! A sound model server, which holds models, carries orders out and reports both.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Message},
    record::Record,
};

/// Models of a deployment with their weights in MB.
pub type Weights = BTreeMap<&'static str, f64>;

/// What an engine is set up with.
#[derive(Clone)]
pub struct EngineSetup {
    pub id: &'static str,
    pub service: &'static str,
    pub weights: Weights,
    /// `WeightsMb` of the engine.
    pub capacity_mb: f64,
    /// `LoadS` of its models.
    pub load_time: Duration,
}

#[derive(Default)]
struct EngineState {
    models: Vec<&'static str>,
    /// Model that is being loaded, and when it is there.
    loading: Option<(&'static str, Instant)>,
    orders: u64,
    highest_fence: u64,
    /// Orders to load more than the engine holds.
    overloads: Vec<String>,
}

#[derive(Clone)]
pub struct Engine {
    pub setup: EngineSetup,
    pub address: SocketAddr,
    state: Arc<Mutex<EngineState>>,
}

impl Engine {
    pub fn start(setup: EngineSetup, models: &[&'static str], record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Self {
            address: listener.local_addr()?,
            setup,
            state: Arc::new(Mutex::new(EngineState {
                models: models.to_vec(),
                ..EngineState::default()
            })),
        };
        let (own, record) = (engine.clone(), record.clone());
        http::serve(listener, move |connection| own.answer(connection, &record));
        Ok(engine)
    }

    /// Returns the entry of the platform's list.
    pub fn entry(&self) -> Vec<u8> {
        format!(
            "{{\"Service\":\"{}\",\"Addr\":\"{}\",\"Zone\":\"z\",\"Version\":\"v1\",\"Slots\":8,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"hybrid\",\"Models\":[{}],\
             \"born\":1772000000000,\"Id\":\"{}\"}}",
            self.setup.service,
            self.address,
            self.model_entries(),
            self.setup.id
        )
        .into_bytes()
    }

    /// Returns the orders that exceeded what the engine holds.
    pub fn overloads(&self) -> Vec<String> {
        self.state.lock().unwrap().overloads.clone()
    }

    pub fn models(&self) -> Vec<&'static str> {
        self.settled().models.clone()
    }

    /// Returns the state after a load that is over by now.
    fn settled(&self) -> std::sync::MutexGuard<'_, EngineState> {
        let mut state = self.state.lock().unwrap();
        if let Some((model, at)) = state.loading
            && at <= Instant::now()
        {
            state.loading = None;
            state.models.push(model);
        }
        state
    }

    fn model_entries(&self) -> String {
        let state = self.settled();
        let models = state.models.iter();
        let entries =
            models.map(|model| format!("{{\"Name\":\"{model}\",\"Version\":1,\"Adapters\":[]}}"));
        entries.collect::<Vec<_>>().join(",")
    }

    fn answer(&self, connection: &mut Connection, record: &Record) -> io::Result<()> {
        let request = connection.read_message()?;
        let answer = match request.path() {
            "/-/report" => self.report(),
            "/-/order" => self.order(&request, record),
            "/health" => http::response(
                "200 OK",
                &[("X-Waxwinglatch-Instance-Id", self.setup.id)],
                b"",
            ),
            _ => return self.run(connection, &request, record),
        };
        connection.send(&answer)
    }

    fn report(&self) -> Vec<u8> {
        let models = self.model_entries();
        let state = self.settled();
        let body = format!(
            "{{\"Stage\":\"hybrid\",\"Models\":[{models}],\"Busy\":{},\"Seq\":{},\"Queued\":0,\"Active\":0,\
             \"KvUsed\":0,\"KvTotal\":100000,\"Handles\":0,\"Pending\":[],\
             \"AtHand\":{{\"InMemory\":[],\"OnDisk\":[]}},\"State\":\"ready\",\"born\":1772000000000}}",
            state.loading.is_some(),
            state.orders
        );
        http::response(
            "200 OK",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    fn order(&self, request: &Message, record: &Record) -> Vec<u8> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let status = self.order_status(request, &body, record);
        let held = self.models();
        record.say(&format!(
            "order: {} {body} answered {status}; it holds {held:?}",
            self.setup.id
        ));
        http::response(status, &[], b"")
    }

    fn order_status(&self, request: &Message, body: &str, record: &Record) -> &'static str {
        let expected = request.field("x-waxwinglatch-expect-instance");
        if expected.is_some_and(|expected| expected != self.setup.id) {
            return "421 Misdirected Request";
        }
        let mut state = self.settled();
        let fence = number(body, "Fence").unwrap_or(0);
        if fence < state.highest_fence {
            return "412 Precondition Failed";
        }
        state.highest_fence = fence;
        let Some((model, weight)) = self
            .setup
            .weights
            .iter()
            .find(|(name, _)| text(body, "Model") == Some(**name))
        else {
            return "400 Bad Request";
        };
        let is_load = text(body, "Op") == Some("load");
        let holds = state.models.contains(model);
        if is_load == holds {
            return "200 OK";
        }
        if state.loading.is_some()
            || number(body, "Precondition").is_some_and(|orders| orders != state.orders)
        {
            return "409 Conflict";
        }
        state.orders += 1;
        if !is_load {
            state.models.retain(|held| held != model);
            return "202 Accepted";
        }
        let used: f64 = state
            .models
            .iter()
            .map(|held| self.setup.weights[held])
            .sum();
        if used + weight > self.setup.capacity_mb {
            let text = format!(
                "{model} of {weight} MB beside {:?}, {used} of {} MB",
                state.models, self.setup.capacity_mb
            );
            record.say(&format!(
                "LIMIT: {} is ordered to load {text}",
                self.setup.id
            ));
            state.overloads.push(text);
        }
        state.loading = Some((model, Instant::now() + self.setup.load_time));
        "202 Accepted"
    }

    fn run(
        &self,
        connection: &mut Connection,
        request: &Message,
        record: &Record,
    ) -> io::Result<()> {
        let id = request
            .field("x-waxwinglatch-request-id")
            .unwrap_or("-")
            .to_owned();
        let model = request
            .field("x-waxwinglatch-model")
            .unwrap_or_default()
            .to_owned();
        let is_held = self.models().contains(&model.as_str());
        let is_own = request
            .field("x-waxwinglatch-expect-instance")
            .is_none_or(|expected| expected == self.setup.id);
        let mut fields = vec![("X-Waxwinglatch-Request-Id", id.as_str())];
        if !is_held || !is_own {
            fields.push(("X-Waxwinglatch-Not-Executed", "1"));
            return connection.send(&http::response("421 Misdirected Request", &fields, b""));
        }
        record.line(&format!("run: {} runs {id} of {model}", self.setup.id));
        thread::sleep(Duration::from_millis(40));
        let stamp = format!("stamp.{}.{id}", self.setup.id);
        fields.push(("X-Waxwinglatch-Response-Stamp", &stamp));
        fields.push(("Content-Type", "text/event-stream"));
        connection.send(&http::response(
            "200 OK",
            &fields,
            b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        ))
    }
}

/// Returns a text field of a flat JSON object.
fn text<'b>(body: &'b str, name: &str) -> Option<&'b str> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    Some(rest.split_once('"')?.0)
}

/// Returns a number of a flat JSON object.
fn number(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    rest.split(|next: char| !next.is_ascii_digit())
        .next()?
        .parse()
        .ok()
}
