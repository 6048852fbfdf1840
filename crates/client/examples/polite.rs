//! Calls a number, and redials with back-off while the call is refused or fails.
//!
//! `cargo run -p mintstall-client --example polite -- 127.0.0.1:7301 2 5551000`

use std::time::Duration;

use mintstall_client::{Client, RedialBudget, RedialPolicy, SessionConfig, offer};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [server, dest, number] = &args[..] else { return Err("usage: polite SERVER DEST NUMBER".into()) };
    let config = SessionConfig {
        token: std::env::var("MINTSTALL_TOKEN").ok(),
        ..SessionConfig::named("polite example")
    };
    let mut client = Client::connect(vec![server.parse()?], config, Duration::from_secs(10))?;
    let mut redial = RedialBudget::new(RedialPolicy::default(), std::process::id().into());
    let offer = offer(dest.parse()?, number.parse()?, Duration::from_secs(6));
    let (outcome, why) = client.call_with_redial(&mut redial, offer)?;
    println!("{outcome:?}");
    why.iter().for_each(|why| println!("not offered again: {why}"));
    client.close();
    Ok(())
}
