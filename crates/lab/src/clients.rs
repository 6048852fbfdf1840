//! The callers of a day over sockets as clients over WebSocket: which session asks for which call, who is cut, who comes back.
//! Without I/O; the loopback shell dials and carries octets.

use std::collections::BTreeMap;
use std::time::Duration;

use mintstall_callapi::{EndReason, Offer, OfferResult};
use mintstall_client::{Event, ReconnectPolicy, Session, SessionConfig};
use mintstall_emulator::{ClientPlan, Observer, Simulation};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tracing::info;

/// A client: its exchange, and its place among that one's.
pub type ClientId = (u16, u16);

/// What became of connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClientCounters {
    pub cuts: u64,
    pub taken_up: u64,
    pub gone: u64,
}

pub struct ClientPool {
    plan: ClientPlan,
    chance: Pcg64Mcg,
    seed: u64,
    sessions: BTreeMap<ClientId, Session>,
    next_cut: Duration,
    pub tally: ClientCounters,
}

impl ClientPool {
    pub fn new(plan: &ClientPlan, seed: u64) -> Self {
        let chance = Pcg64Mcg::seed_from_u64(seed ^ 0xC11E);
        let mut clients = Self {
            plan: plan.clone(),
            chance,
            seed,
            sessions: BTreeMap::new(),
            next_cut: Duration::MAX,
            tally: ClientCounters::default(),
        };
        clients.next_cut = clients.gap(Duration::ZERO);
        clients
    }

    pub fn is_disabled(&self) -> bool {
        self.plan.sessions == 0
    }

    fn gap(&mut self, now: Duration) -> Duration {
        let draw = -(1.0 - self.chance.random::<f64>()).ln() / self.plan.cuts_per_s.max(1e-9);
        now + Duration::from_secs_f64(draw.min(1e6))
    }

    fn begin(&mut self, now: Duration, no: ClientId) {
        self.seed = self.seed.wrapping_add(1);
        // Cuts are the script's and say nothing of the controller: what is judged is not how long a client stays away.
        let reconnect =
            ReconnectPolicy { stable_after: Duration::from_millis(200), ..ReconnectPolicy::default() };
        let plan = SessionConfig { reconnect, ..SessionConfig::named(format!("day {}.{}", no.0, no.1)) };
        self.sessions.insert(no, Session::new(now, plan, self.seed));
    }

    /// An exchange takes calls: its clients dial.
    pub fn ready(&mut self, now: Duration, office: u16) {
        (0..self.plan.sessions).for_each(|no| self.begin(now, (office, no)));
    }

    /// Its controller is gone, and with it every session.
    pub fn killed(&mut self, office: u16) {
        self.sessions.retain(|(of, _), _| *of != office);
    }

    pub fn session(&mut self, no: ClientId) -> Option<&mut Session> {
        self.sessions.get_mut(&no)
    }

    pub fn numbers(&self) -> Vec<ClientId> {
        self.sessions.keys().copied().collect()
    }

    /// Which client asks for a call: always the same.
    pub fn client_for(&self, office: u16, call: u64) -> ClientId {
        (office, ((call >> 8) % u64::from(self.plan.sessions.max(1))) as u16)
    }

    pub fn offer(&mut self, now: Duration, office: u16, offer: Offer) {
        let no = self.client_for(office, offer.call);
        if let Some(session) = self.sessions.get_mut(&no)
            && let Err(error) = session.offer(now, offer)
        {
            info!(office, "an offer is not taken by its client: {error}");
        }
    }

    pub fn hang_up(&mut self, office: u16, call: u64) {
        let no = self.client_for(office, call);
        let Some(session) = self.sessions.get_mut(&no) else { return };
        match session.stands(call) {
            true => session.hang_up(call),
            // Its final answer is still owed, and heard.
            false => session.cancel(call),
        }
    }

    /// Whose connections are cut now; those who are gone for good have others in their places.
    pub fn cuts(
        &mut self,
        now: Duration,
        simulation: &mut Simulation,
        observer: &mut dyn Observer,
    ) -> Vec<ClientId> {
        let mut cut = Vec::new();
        while self.next_cut <= now {
            self.next_cut = self.gap(self.next_cut);
            let place = self.chance.random_range(0..self.sessions.len().max(1));
            let gone = self.chance.random::<f64>() < self.plan.gone;
            let Some(no) = self.sessions.keys().nth(place).copied() else { continue };
            self.tally.cuts += 1;
            if gone {
                self.tally.gone += 1;
                let calls: Vec<u64> = self.sessions[&no].in_hand().collect();
                calls.into_iter().for_each(|call| simulation.client_lost(now, no.0, call, observer));
                self.begin(now, no);
            } else if let Some(session) = self.sessions.get_mut(&no) {
                session.lost(now, "cut by the script");
            }
            cut.push(no);
        }
        cut
    }

    /// What happened to one client, told to the world.
    pub fn events(
        &mut self,
        now: Duration,
        no: ClientId,
        simulation: &mut Simulation,
        observer: &mut dyn Observer,
    ) {
        let office = no.0;
        while let Some(event) = self.sessions.get_mut(&no).and_then(Session::next_event) {
            match event {
                Event::Answered(OfferResult { call, exchange_call, answer }) => {
                    simulation.call_answered(now, office, call, exchange_call, answer, observer);
                }
                Event::Ended { call, how } => {
                    simulation.call_ended(now, office, call, how.unwrap_or(EndReason::Cut), observer)
                }
                Event::Connected { resumed, .. } => self.tally.taken_up += u64::from(resumed),
                // The auditor misses their answers, and says so.
                Event::Lost { call } => info!(office, call, "lost"),
                Event::Fault { call, code, why } => info!(office, call, code, "{why}"),
                Event::Denied { why } => info!(office, "denied: {why}"),
                Event::Disconnected { .. } | Event::News(_) | Event::Missed(_) | Event::Reply { .. } => {}
            }
        }
    }
}
