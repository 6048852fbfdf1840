//! `mintstall node`: a controller on the operators' platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use mintstall_node::Node;
use mintstall_platform::Config;
use serde_json::json;

#[derive(Args)]
pub struct NodeArgs {
    /// Configuration file of the platform, JSON; read again on SIGHUP.
    #[arg(long, env = "LB_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// Address for callers; default: `listen` of the configuration.
    #[arg(long, env = "LB_LISTEN", value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Name of the controller in the log; default: `name` of the configuration.
    #[arg(long, env = "LB_NAME", value_name = "NAME")]
    name: Option<String>,
}

pub fn node(args: NodeArgs) -> ExitCode {
    let config = match Config::read(&args.config) {
        Ok(config) => config,
        Err(error) => return crate::bad_input(error),
    };
    let listen = args.listen.unwrap_or(config.listen);
    let node = match Node::open(&config, listen, args.config) {
        Ok(node) => node,
        Err(error) => return crate::failed(error),
    };
    if let Ok(addr) = node.local_addr() {
        println!("{}", json!({ "callers": addr }));
    }
    let name = args.name.unwrap_or(config.name);
    tracing::info!(name, %listen, sockets = config.sockets, "accepting calls");
    match node.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => crate::failed(error),
    }
}
