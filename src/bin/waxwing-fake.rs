//! Stand-ins for targets.

use std::net::{IpAddr, Ipv4Addr};

use waxwinglatch::{
    clap_app,
    config::ListenAddress,
    error::Result,
    fake::{FakeEngine, FakeService},
};

#[rocket::main]
async fn main() -> Result<()> {
    let matches = clap_app::fake_app().get_matches();
    let (name, arguments) = matches.subcommand().expect("clap demands a subcommand");
    let port = *arguments
        .get_one("port")
        .expect("clap demands the argument");
    let listen = ListenAddress {
        address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        port,
    };
    match name {
        "engine" => {
            let memory_mib = *arguments.get_one("memory-mib").expect("it has a default");
            FakeEngine::new(listen, memory_mib).run().await
        }
        _ => FakeService::new(listen).run().await,
    }
}
