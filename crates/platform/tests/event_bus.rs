//! An event bus that serves connections late, or not at all, in virtual time.

mod common;

use std::collections::VecDeque;
use std::time::Duration;

use common::{Platform, config_with, ms, target};
use mintstall_platform::BusConnectionId;
use serde_json::json;

const STEP: Duration = Duration::from_millis(10);
const PULSE_INTERVAL: Duration = Duration::from_secs(1);

/// A bus that accepts each connection at once, and serves the connections of all controllers one after another.
struct Bus {
    /// Time for one connection.
    service_time: Duration,
    /// Accepted connections that have not been served: the controller's index, and the connection.
    waiting: VecDeque<(usize, BusConnectionId)>,
    /// When the connection at the front is served.
    next_service: Duration,
    accepted: Vec<BusConnectionId>,
}

/// Some controllers that have just lost the bus, in which an event waits for them: exchange two drains.
struct Crowd {
    platforms: Vec<Platform>,
    bus: Bus,
    /// The connection of each controller that is served, and when it got the event.
    served: Vec<Option<(BusConnectionId, Duration)>>,
    lost_at: Duration,
}

impl Crowd {
    fn new(controllers: usize, service_time: Duration) -> Self {
        let start = |seed: usize| {
            let config = config_with(|config| config["seed"] = json!(format!("{:016x}", seed + 1))).unwrap();
            let mut platform = Platform::without_links(&config);
            platform.connect_bus();
            platform.connect_links();
            let connection = platform.newest_bus_connection();
            platform.transport.close_bus_connection(connection);
            platform.core.bus_disconnected(platform.transport.now, &mut platform.transport, connection);
            platform
        };
        let platforms: Vec<_> = (0..controllers).map(start).collect();
        let lost_at = platforms[0].transport.now;
        let bus = Bus {
            service_time,
            waiting: VecDeque::new(),
            next_service: lost_at + service_time,
            accepted: vec![BusConnectionId(0); controllers],
        };
        Self { served: vec![None; controllers], platforms, bus, lost_at }
    }

    fn now(&self) -> Duration {
        self.platforms[0].transport.now
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now() + span;
        while self.now() < end {
            self.platforms.iter_mut().for_each(|platform| platform.advance(STEP));
            self.accept();
            self.serve();
        }
    }

    fn accept(&mut self) {
        for (index, platform) in self.platforms.iter_mut().enumerate() {
            let new = platform.transport.bus_connections.last().copied();
            if let Some(connection) = new.filter(|connection| *connection > self.bus.accepted[index]) {
                self.bus.accepted[index] = connection;
                platform.connect_bus();
                self.bus.waiting.push_back((index, connection));
            }
        }
    }

    /// Serves the connection at the front, which costs its time even if it has been closed, and sends the pulses.
    fn serve(&mut self) {
        let now = self.now();
        if self.bus.waiting.is_empty() {
            self.bus.next_service = now + self.bus.service_time;
        }
        while now >= self.bus.next_service
            && let Some((index, connection)) = self.bus.waiting.pop_front()
        {
            self.bus.next_service += self.bus.service_time;
            if self.is_open(index, connection) {
                let drain = json!({"rev": 2, "all": false, "targets": [target("two", 2, "terminating", 0)]});
                self.send(index, connection, &format!("{}\n", json!({"offset": 2, "topology": drain})));
                self.served[index] = self.served[index].or(Some((connection, now)));
            }
        }
        if (now - self.lost_at).as_millis().is_multiple_of(PULSE_INTERVAL.as_millis()) {
            for index in 0..self.platforms.len() {
                if let Some((connection, _)) = self.served[index] {
                    self.send(index, connection, "2\n");
                }
            }
        }
    }

    fn is_open(&self, index: usize, connection: BusConnectionId) -> bool {
        self.platforms[index].transport.bus_connections.contains(&connection)
    }

    fn send(&mut self, index: usize, connection: BusConnectionId, line: &str) {
        let Platform { core, transport } = &mut self.platforms[index];
        core.bus_data(transport.now, transport, connection, line.as_bytes());
    }

    /// How long after the loss each controller got the event.
    fn delays(&self) -> Vec<Option<Duration>> {
        self.served.iter().map(|served| served.map(|(_, at)| at - self.lost_at)).collect()
    }
}

// Guards against: a connection to a slow bus given up and opened anew before it is served, for ever.
#[test]
fn a_bus_that_serves_each_connection_late_is_learnt_from() {
    for service_ms in [2000, 3000, 8000, 15_000] {
        let mut crowd = Crowd::new(1, ms(service_ms));
        crowd.advance(ms(60_000));
        let delay = crowd.delays()[0].unwrap_or_else(|| panic!("never served after {service_ms} ms"));
        if service_ms <= 8000 {
            assert!(delay < ms(service_ms + 500), "served after {delay:?} instead of {service_ms} ms");
        }
        let connection = crowd.served[0].unwrap().0;
        assert_eq!(crowd.platforms[0].transport.bus_connections, [connection], "the others are closed");
    }
}

// Guards against: a crowd whose members all lose their places, so that the bus never gets to the last of them.
#[test]
fn each_of_a_crowd_is_served_in_the_time_that_a_bus_takes_for_all() {
    const CONTROLLERS: u32 = 50;
    for all_served_ms in [2000, 8000] {
        let mut crowd = Crowd::new(CONTROLLERS as usize, ms(all_served_ms) / CONTROLLERS);
        crowd.advance(ms(all_served_ms + 1000));
        let unserved = crowd.delays().iter().filter(|delay| delay.is_none()).count();
        assert_eq!(unserved, 0, "of 50 that call at once, with {all_served_ms} ms for all");
    }
}

// Guards against: a connection that is accepted and never served, waited for alone.
#[test]
fn another_connection_is_opened_beside_one_that_is_not_served() {
    let mut crowd = Crowd::new(1, ms(500));
    crowd.advance(ms(400));
    assert_eq!(crowd.bus.waiting.len(), 1);
    crowd.bus.waiting.clear();
    crowd.bus.service_time = ms(100);
    crowd.advance(ms(3100));
    let delay = crowd.delays()[0].expect("not served");
    assert!(delay < ms(3500), "within the 4 s after which the change counts as told, not {delay:?}");
}

#[test]
fn at_most_two_connections_are_open_and_a_served_bus_that_falls_silent_is_left_at_once() {
    let mut crowd = Crowd::new(1, ms(30_000));
    for _ in 0..25 {
        crowd.advance(ms(1000));
        assert!(crowd.platforms[0].transport.bus_connections.len() <= 2);
    }
    let mut platform = Platform::start();
    platform.bus_line("1\n");
    let served = platform.newest_bus_connection();
    platform.advance(ms(2200));
    assert_eq!(platform.transport.bus_connections, [served]);
    platform.advance(ms(500));
    assert!(!platform.transport.bus_connections.contains(&served), "silent for 2.7 s");
}
