//! `mintstall node` after SIGTERM, with calls that no exchange answers: each gets its final answer before the process may be
//! killed, which is 0.7 s after the longest deadline (counted as 3 s where it is longer).

mod common;

use std::num::NonZero;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::node::{Caller, Node, config, invite, start_bus, start_silent_exchange};
use nix::sys::signal::Signal;

/// From SIGTERM to the earliest SIGKILL, where the longest deadline is 3 s or more.
const KILL_AFTER: Duration = Duration::from_millis(3700);
const FLEET_OF_A_FEW: usize = 6;
const LARGE_FLEET: usize = 300;
const THREADS_PER_PROCESSOR: usize = 3;
/// Stops of the small fleet in a row.
const ROUNDS: usize = 4;

/// A controller with one open call.
struct WaitingCall {
    node: Node,
    caller: Caller,
}

/// Starts controllers, each with a call that its exchange does not answer.
fn start_fleet(size: usize) -> Vec<WaitingCall> {
    let (exchange, _received) = start_silent_exchange();
    let (bus, _) = start_bus();
    let starters: Vec<_> = (0..size)
        .map(|index| {
            let config = config(exchange, bus);
            thread::spawn(move || {
                let node = Node::start(&format!("fleet-{size}-{index}.json"), &config);
                let mut caller = node.connect();
                caller.send(&invite(index as u64 + 1, "1"));
                WaitingCall { node, caller }
            })
        })
        .collect();
    starters.into_iter().map(|starter| starter.join().unwrap()).collect()
}

/// Stops all controllers and returns the callers' final answers, of those that came before the kill.
fn stop_and_collect(fleet: Vec<WaitingCall>) -> Vec<String> {
    let stopped = Instant::now();
    fleet.iter().for_each(|call| call.node.signal(Signal::SIGTERM));
    let signalled_in = stopped.elapsed();
    let readers: Vec<_> = fleet
        .into_iter()
        .map(|WaitingCall { node, mut caller }| {
            thread::spawn(move || {
                let status = caller.next_status();
                let in_time = stopped.elapsed() < KILL_AFTER + signalled_in;
                drop(node);
                if in_time { status } else { format!("{status}, late") }
            })
        })
        .collect();
    readers.into_iter().map(|reader| reader.join().unwrap()).collect()
}

/// How many of the callers got no answer in time.
fn unanswered(answers: &[String]) -> usize {
    answers.iter().filter(|answer| !["500", "503"].contains(&answer.as_str())).count()
}

// Guards against: connections closed at the end of a shutdown before the calls on them are answered (issue 45).
#[test]
fn a_shutdown_whose_end_is_noticed_late_answers_all_calls() {
    let fleet = start_fleet(FLEET_OF_A_FEW);
    let processes: Vec<_> = fleet.iter().map(|call| call.node.child.id() as i32).collect();
    let signal_all = |signal| {
        for process in &processes {
            nix::sys::signal::kill(nix::unistd::Pid::from_raw(*process), signal).unwrap();
        }
    };
    thread::scope(|scope| {
        let collector = scope.spawn(|| stop_and_collect(fleet));
        thread::sleep(Duration::from_millis(3150));
        signal_all(Signal::SIGSTOP);
        thread::sleep(Duration::from_millis(200));
        signal_all(Signal::SIGCONT);
        let answers = collector.join().unwrap();
        assert_eq!(unanswered(&answers), 0, "{answers:?}");
    });
}

// Guards against: the same in a few processes that nothing delays.
#[test]
fn a_small_fleet_that_is_stopped_answers_all_calls() {
    for round in 0..ROUNDS {
        let answers = stop_and_collect(start_fleet(FLEET_OF_A_FEW));
        assert_eq!(unanswered(&answers), 0, "round {round}: {answers:?}");
    }
}

// Guards against: the same in hundreds of processes on a busy machine.
#[test]
fn a_large_fleet_that_is_stopped_at_once_answers_all_calls() {
    let fleet = start_fleet(LARGE_FLEET);
    let busy = BusyThreads::start();
    let answers = stop_and_collect(fleet);
    drop(busy);
    let closed = answers.iter().filter(|answer| answer.starts_with("closed")).count();
    assert_eq!(closed, 0, "of {LARGE_FLEET}");
}

/// Threads that keep all processors busy until this is dropped.
struct BusyThreads {
    stopped: Arc<AtomicBool>,
}

impl BusyThreads {
    fn start() -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let processors = thread::available_parallelism().map_or(1, NonZero::get);
        for _ in 0..THREADS_PER_PROCESSOR * processors {
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || while !stopped.load(Ordering::Relaxed) {});
        }
        Self { stopped }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
