//! Model check of claims of idempotency keys: a request with a key runs at most once
//! (docs/design.md, section 11, and docs/model-checking.md). The model runs the production claim
//! table.

#[path = "model/machine.rs"]
mod machine;
mod model;

use std::collections::BTreeSet;

use machine::Machine;
use model::{Specification, assert_holds, assert_violates};
use rstest::rstest;
use waxwinglatch::state::{
    ClaimKey, ClaimOutcome, ClaimRequest, ClaimTable, ClaimTicket, RecordedResponse,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A claim is released although part of its request may have been sent.
    ReleasedAfterByte,
    /// The claims of a terminated entry are released instead of marked as unknown.
    LostClaimReleased,
    /// The claimant is identified by its VM without the incarnation.
    IncarnationIgnored,
    /// The request is sent before the claim is granted.
    SentBeforeGrant,
}

/// VM and incarnation of an entry daemon.
type EntryKey = (u8, u8);
/// One attempt to run the request: an entry and its attempt number.
type Attempt = (EntryKey, u8);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Command {
    Claim(Attempt),
    Complete(Attempt),
    Release(Attempt),
    Abandon(Attempt),
    LoseClaimant(EntryKey),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Claiming,
    Granted,
    Sent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    incarnation: u8,
    attempts: u8,
    stage: Stage,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// Number that the machine assigned to the state of the claim table.
    table: u32,
    entries: [Entry; 2],
    /// Commands that were sent. They are never removed, so that each may be delayed, repeated or
    /// lost.
    commands: BTreeSet<Command>,
    /// Grants that were sent to the entries.
    grants: BTreeSet<Attempt>,
    /// Requests that were sent to the target.
    sent: BTreeSet<Attempt>,
    /// Requests that the target ran.
    ran: BTreeSet<Attempt>,
    requests: u8,
    terminations: u8,
}

#[allow(dead_code)] // The fields are printed in traces.
#[derive(Debug)]
enum Action {
    Request(usize),
    Apply(Command),
    Grant(Attempt),
    Send(usize),
    Run(Attempt),
    End(usize, Command),
    Terminate(usize),
}

struct Claims {
    fault: Fault,
    table: Machine<ClaimTable, Command, bool>,
}

/// Time of all commands and timestamp of the key.
const NOW_MS: u64 = 1_767_225_600_000;

fn ticket(((vm, incarnation), attempt): Attempt) -> ClaimTicket {
    let version = 7 << 12;
    let variant = 2 << 62;
    let key = ClaimKey {
        key: uuid::Uuid::from_u64_pair((NOW_MS << 16) | version, variant),
        team: "team".into(),
        route: "route".into(),
    };
    let claimant = entry_key((vm, incarnation));
    let attempt = attempt.into();
    ClaimTicket {
        key,
        claimant,
        attempt,
    }
}

fn entry_key((vm, incarnation): EntryKey) -> waxwinglatch::ids::EntryKey {
    waxwinglatch::ids::EntryKey {
        vm: vm.to_string().into(),
        incarnation: incarnation.into(),
    }
}

/// Applies a command to the claim table; returns whether a claim is granted.
#[allow(clippy::trivially_copy_pass_by_ref)] // The machine prescribes the signature.
fn apply(table: &mut ClaimTable, command: &Command) -> bool {
    match *command {
        Command::Claim(attempt) => {
            let body_hash = waxwinglatch::ids::BodyHash::default();
            let request = ClaimRequest {
                ticket: ticket(attempt),
                body_hash,
            };
            return table.claim(NOW_MS, &request) == ClaimOutcome::Granted;
        }
        Command::Complete(attempt) => {
            let response = RecordedResponse {
                status: 200,
                headers: Vec::new(),
                body: None,
            };
            table.complete(&ticket(attempt), &response);
        }
        Command::Release(attempt) => table.release(NOW_MS, &ticket(attempt)),
        Command::Abandon(attempt) => table.abandon(&ticket(attempt)),
        Command::LoseClaimant(key) => table.abandon_all(&entry_key(key)),
    }
    false
}

fn encode(table: &ClaimTable) -> Vec<u8> {
    rmp_serde::to_vec(table).expect("a claim table")
}

impl Claims {
    fn new(fault: Fault) -> Self {
        let table = Machine::new(apply, encode);
        Self { fault, table }
    }

    fn key(&self, state: &State, vm: usize) -> EntryKey {
        let incarnation = match self.fault {
            Fault::IncarnationIgnored => 0,
            _ => state.entries[vm].incarnation,
        };
        (u8::try_from(vm).expect("two entries"), incarnation)
    }

    fn attempt(&self, state: &State, vm: usize) -> Attempt {
        (self.key(state, vm), state.entries[vm].attempts)
    }

    /// Applies a command as changed by the fault.
    fn apply(&self, table: u32, command: Command) -> (u32, bool) {
        match command {
            Command::LoseClaimant(key) if self.fault == Fault::LostClaimReleased => {
                let release =
                    |table, attempt| self.table.step(table, &Command::Release((key, attempt))).0;
                ((1..=4).fold(table, release), false)
            }
            _ => self.table.step(table, &command),
        }
    }

    /// Returns the commands with which an entry can end its attempt.
    fn end_commands(&self, state: &State, vm: usize) -> Vec<Command> {
        let attempt = self.attempt(state, vm);
        let releases_sent = self.fault == Fault::ReleasedAfterByte;
        match state.entries[vm].stage {
            Stage::Idle => Vec::new(),
            // The request was not sent, whether or not the grant still arrives.
            Stage::Claiming | Stage::Granted => vec![Command::Release(attempt)],
            Stage::Sent if state.ran.contains(&attempt) => vec![Command::Complete(attempt)],
            Stage::Sent if releases_sent => vec![Command::Release(attempt)],
            Stage::Sent => vec![Command::Abandon(attempt)],
        }
    }
}

impl Specification for Claims {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        let entry = Entry {
            incarnation: 0,
            attempts: 0,
            stage: Stage::Idle,
        };
        State {
            table: self.table.number(&ClaimTable::default()),
            entries: [entry; 2],
            commands: BTreeSet::new(),
            grants: BTreeSet::new(),
            sent: BTreeSet::new(),
            ran: BTreeSet::new(),
            requests: 0,
            terminations: 0,
        }
    }

    fn next(&self, state: &State) -> Vec<(Action, State)> {
        let mut next = Vec::new();
        let mut add = |action, change: &dyn Fn(&mut State)| {
            let mut after = state.clone();
            change(&mut after);
            if after != *state {
                next.push((action, after));
            }
        };
        for command in &state.commands {
            add(Action::Apply(*command), &|after| {
                let (table, granted) = self.apply(after.table, *command);
                after.table = table;
                if let (true, Command::Claim(attempt)) = (granted, *command) {
                    after.grants.insert(attempt);
                }
            });
        }
        for attempt in &state.sent {
            add(Action::Run(*attempt), &|after| {
                after.ran.insert(*attempt);
            });
        }
        for vm in 0..2 {
            let entry = state.entries[vm];
            let attempt = self.attempt(state, vm);
            if entry.stage == Stage::Idle && state.requests < 4 {
                add(Action::Request(vm), &|after| {
                    after.requests += 1;
                    after.entries[vm].attempts += 1;
                    after.entries[vm].stage = Stage::Claiming;
                    after
                        .commands
                        .insert(Command::Claim(self.attempt(after, vm)));
                });
            }
            if entry.stage == Stage::Claiming && state.grants.contains(&attempt) {
                add(Action::Grant(attempt), &|after| {
                    after.entries[vm].stage = Stage::Granted;
                });
            }
            let sends_early =
                self.fault == Fault::SentBeforeGrant && entry.stage == Stage::Claiming;
            if entry.stage == Stage::Granted || sends_early {
                add(Action::Send(vm), &|after| {
                    after.entries[vm].stage = Stage::Sent;
                    // Runs of different incarnations are counted separately, also if the claim
                    // ignores the incarnation.
                    let incarnation = after.entries[vm].incarnation;
                    after.sent.insert(((attempt.0.0, incarnation), attempt.1));
                });
            }
            for command in self.end_commands(state, vm) {
                add(Action::End(vm, command), &|after| {
                    after.entries[vm].stage = Stage::Idle;
                    after.commands.insert(command);
                });
            }
            if state.terminations < 2 {
                add(Action::Terminate(vm), &|after| {
                    after.terminations += 1;
                    after
                        .commands
                        .insert(Command::LoseClaimant(self.key(after, vm)));
                    let incarnation = after.entries[vm].incarnation + 1;
                    // A new process numbers its attempts from the start.
                    after.entries[vm] = Entry {
                        incarnation,
                        attempts: 0,
                        stage: Stage::Idle,
                    };
                });
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        (state.ran.len() > 1).then_some("at most once")
    }
}

/// Guards against a request with a key that runs twice after any sequence of lost, delayed and
/// repeated commands, terminated entries and resends.
#[test]
fn a_keyed_request_runs_at_most_once() {
    assert_holds("claims", &Claims::new(Fault::None), 105_960);
}

/// Guards against a model check that never fails: each seeded fault makes the request run twice.
#[rstest]
fn a_seeded_fault_runs_a_request_twice(
    #[values(
        Fault::ReleasedAfterByte,
        Fault::LostClaimReleased,
        Fault::IncarnationIgnored,
        Fault::SentBeforeGrant
    )]
    fault: Fault,
) {
    assert_violates(&format!("{fault:?}"), &Claims::new(fault), "at most once");
}
