//! Stand-ins for targets.

use std::net::{IpAddr, Ipv4Addr};

use clap::ArgMatches;
use waxwinglatch::{
    clap_app,
    config::ListenAddress,
    error::Result,
    fake::{EngineOptions, FakeEngine, FakeService, Faults, ServiceOptions},
};

#[rocket::main]
async fn main() -> Result<()> {
    let matches = clap_app::fake_app().get_matches();
    let (name, arguments) = matches.subcommand().expect("clap demands a subcommand");
    let listen = ListenAddress {
        address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        port: value(arguments, "port"),
    };
    if name == "service" {
        let options = ServiceOptions {
            response_ms: value(arguments, "response-ms"),
            echoes_ids: value(arguments, "echo-ids"),
        };
        return FakeService::with_options(listen, options).run().await;
    }
    let faults = Faults {
        crash_on: arguments.get_one("crash-on").cloned(),
        ..Faults::default()
    };
    FakeEngine::with_options(listen, engine_options(arguments))
        .with_faults(faults)
        .run()
        .await
}

fn engine_options(arguments: &ArgMatches) -> EngineOptions {
    EngineOptions {
        accelerators: value(arguments, "accelerators"),
        memory_mib: value(arguments, "memory-mib"),
        checks_memory: value(arguments, "check-memory"),
        checks_fencing: value(arguments, "check-fencing"),
        load_ms: value(arguments, "load-ms"),
        unload_ms: value(arguments, "unload-ms"),
        token_ms: value(arguments, "token-ms"),
        slots: value(arguments, "slots"),
        cache_blocks: value(arguments, "cache-blocks"),
        event_delay_ms: value(arguments, "event-delay-ms"),
        event_gap: value(arguments, "event-gap"),
        report_lag_ms: value(arguments, "report-lag-ms"),
        echoes_ids: value(arguments, "echo-ids"),
        resumes: value(arguments, "resume"),
        software: value(arguments, "software"),
    }
}

fn value<T: Clone + Send + Sync + 'static>(arguments: &ArgMatches, name: &str) -> T {
    arguments
        .get_one::<T>(name)
        .cloned()
        .expect("the argument is required or has a default")
}
