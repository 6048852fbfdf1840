//! Prints calls as they go, through cuts, until it is ended.
//!
//! `cargo run -p mintstall-client --example monitor -- 127.0.0.1:7301`

use std::time::Duration;

use mintstall_client::{Client, Event, SessionConfig};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let server = std::env::args().nth(1).ok_or("usage: monitor SERVER")?;
    let plan = SessionConfig {
        token: std::env::var("MINTSTALL_TOKEN").ok(),
        ..SessionConfig::named("monitor example")
    };
    let mut client = Client::connect(vec![server.parse()?], plan, Duration::from_secs(10))?;
    client.watch();
    loop {
        match client.next_event(Duration::from_secs(1)) {
            Some(Event::News(note)) => println!("{} {:?}", note.number, note.event),
            Some(Event::Missed(note)) => println!("{} events were missed", note.count),
            Some(Event::Disconnected { why }) => eprintln!("down: {why}"),
            Some(Event::Connected { .. }) => eprintln!("up"),
            Some(Event::Denied { why }) => return Err(why.into()),
            _ => {}
        }
    }
}
