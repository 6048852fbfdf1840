//! Prints news of calls until it is stopped. Reconnects after disconnections.
//!
//! `cargo run -p mintstall-client --example monitor -- 127.0.0.1:7301`

use std::time::Duration;

use mintstall_client::{Client, Event, SessionConfig};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let server = std::env::args().nth(1).ok_or("usage: monitor SERVER")?;
    let config = SessionConfig {
        token: std::env::var("MINTSTALL_TOKEN").ok(),
        ..SessionConfig::named("monitor example")
    };
    let mut client = Client::connect(vec![server.parse()?], config, Duration::from_secs(10))?;
    client.watch();
    loop {
        match client.next_event(Duration::from_secs(1)) {
            Some(Event::News(news)) => println!("{} {:?}", news.number, news.event),
            Some(Event::Missed(missed)) => println!("{} events were missed", missed.count),
            Some(Event::Disconnected { why }) => eprintln!("disconnected: {why}"),
            Some(Event::Connected { .. }) => eprintln!("connected"),
            Some(Event::Denied { why }) => return Err(why.into()),
            _ => {}
        }
    }
}
