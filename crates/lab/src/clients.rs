//! The WebSocket clients of a day over sockets: assigns calls to client sessions, cuts connections as the script asks, and
//! passes session events to the simulation. Without I/O: `loopback` connects and transfers the octets.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall_callapi::{EndReason, Offer, OfferResult};
use mintstall_client::{Event, ReconnectPolicy, Session, SessionConfig};
use mintstall_emulator::{ClientPlan, Observer, Simulation};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tracing::info;

/// A client: its exchange, and its index among the clients of this exchange.
pub type ClientId = (u16, u16);

/// Counts of client connections cut, and of what followed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClientCounters {
    pub cuts: u64,
    #[serde(rename = "taken_up")]
    pub resumed: u64,
    /// Clients that never reconnect after a cut.
    pub gone: u64,
}

pub struct ClientPool {
    plan: ClientPlan,
    rng: Pcg64Mcg,
    seed: u64,
    sessions: BTreeMap<ClientId, Session>,
    next_cut: Duration,
    pub counters: ClientCounters,
}

impl ClientPool {
    pub fn new(plan: &ClientPlan, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ 0xC11E);
        let mut pool = Self {
            plan: plan.clone(),
            rng,
            seed,
            sessions: BTreeMap::new(),
            next_cut: Duration::MAX,
            counters: ClientCounters::default(),
        };
        pool.next_cut = pool.next_cut_after(Duration::ZERO);
        pool
    }

    pub fn is_disabled(&self) -> bool {
        self.plan.sessions == 0
    }

    fn next_cut_after(&mut self, now: Duration) -> Duration {
        let delay_s = -(1.0 - self.rng.random::<f64>()).ln() / self.plan.cuts_per_s.max(1e-9);
        now + Duration::from_secs_f64(delay_s.min(1e6))
    }

    fn start_session(&mut self, now: Duration, client: ClientId) {
        self.seed = self.seed.wrapping_add(1);
        // The script cuts connections whatever the controller does, and the time a client stays away is not checked: a
        // connection counts as stable after 200 ms, so that the reconnect delay stays short.
        let reconnect =
            ReconnectPolicy { stable_after: Duration::from_millis(200), ..ReconnectPolicy::default() };
        let config =
            SessionConfig { reconnect, ..SessionConfig::named(format!("day {}.{}", client.0, client.1)) };
        self.sessions.insert(client, Session::new(now, config, self.seed));
    }

    /// Starts the sessions of an exchange whose controller accepts calls.
    pub fn exchange_ready(&mut self, now: Duration, exchange_number: u16) {
        (0..self.plan.sessions).for_each(|index| self.start_session(now, (exchange_number, index)));
    }

    /// Drops every session of a killed controller.
    pub fn controller_killed(&mut self, exchange_number: u16) {
        self.sessions.retain(|(exchange, _), _| *exchange != exchange_number);
    }

    pub fn session(&mut self, client: ClientId) -> Option<&mut Session> {
        self.sessions.get_mut(&client)
    }

    pub fn client_ids(&self) -> Vec<ClientId> {
        self.sessions.keys().copied().collect()
    }

    /// The client that offers a call and hangs it up; depends only on the exchange and the call number.
    pub fn client_for(&self, exchange_number: u16, call: u64) -> ClientId {
        (exchange_number, ((call >> 8) % u64::from(self.plan.sessions.max(1))) as u16)
    }

    pub fn offer(&mut self, now: Duration, exchange_number: u16, offer: Offer) {
        let client = self.client_for(exchange_number, offer.call);
        if let Some(session) = self.sessions.get_mut(&client)
            && let Err(error) = session.offer(now, offer)
        {
            info!(office = exchange_number, "client rejected an offer: {error}");
        }
    }

    pub fn hang_up(&mut self, exchange_number: u16, call: u64) {
        let client = self.client_for(exchange_number, call);
        let Some(session) = self.sessions.get_mut(&client) else { return };
        match session.stands(call) {
            true => session.hang_up(call),
            // The final answer is outstanding and still expected after the cancel.
            false => session.cancel(call),
        }
    }

    /// Draws the connection cuts that are due and returns the clients concerned. A client that is gone for good is replaced by
    /// a new session under the same id.
    pub fn apply_cuts(
        &mut self,
        now: Duration,
        simulation: &mut Simulation,
        observer: &mut dyn Observer,
    ) -> Vec<ClientId> {
        let mut cut = Vec::new();
        while self.next_cut <= now {
            self.next_cut = self.next_cut_after(self.next_cut);
            let index = self.rng.random_range(0..self.sessions.len().max(1));
            let gone = self.rng.random::<f64>() < self.plan.gone;
            let Some(client) = self.sessions.keys().nth(index).copied() else { continue };
            self.counters.cuts += 1;
            if gone {
                self.counters.gone += 1;
                let calls: Vec<u64> = self.sessions[&client].call_numbers().collect();
                calls.into_iter().for_each(|call| simulation.client_lost(now, client.0, call, observer));
                self.start_session(now, client);
            } else if let Some(session) = self.sessions.get_mut(&client) {
                session.on_connection_lost(now, "cut by the script");
            }
            cut.push(client);
        }
        cut
    }

    /// Passes the pending events of one client session to the simulation.
    pub fn process_events(
        &mut self,
        now: Duration,
        client: ClientId,
        simulation: &mut Simulation,
        observer: &mut dyn Observer,
    ) {
        let exchange_number = client.0;
        while let Some(event) = self.sessions.get_mut(&client).and_then(Session::next_event) {
            match event {
                Event::Answered(OfferResult { call, exchange_call, answer }) => {
                    simulation.call_answered(now, exchange_number, call, exchange_call, answer, observer);
                }
                Event::Ended { call, how } => {
                    simulation.call_ended(now, exchange_number, call, how.unwrap_or(EndReason::Cut), observer)
                }
                Event::Connected { resumed, .. } => self.counters.resumed += u64::from(resumed),
                // The rule checker reports the missing answer.
                Event::Lost { call } => info!(
                    office = exchange_number,
                    call, "outcome of the call unknown: its session ended or no answer came in time"
                ),
                Event::OfferError { call, code, why } => {
                    info!(office = exchange_number, call, code, "controller answered with an error: {why}")
                }
                Event::Denied { why } => {
                    info!(office = exchange_number, "controller denied the session: {why}")
                }
                Event::Disconnected { .. } | Event::News(_) | Event::Missed(_) | Event::Reply { .. } => {}
            }
        }
    }
}
