//! Releases of standing calls towards callers: on which connections they are sent, and whether they have arrived.
//!
//! The wire does not name the caller of a connection. A release goes to the connection of its call if that is open. Else what
//! a connection has shown decides ([`CallerEvidence`]): one of a caller that is known to have had calls gets it alone; if
//! there is none, all that may be its caller's get it, within limits, and it waits for one that shows more.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use mintstall::interface::CallId;
use mintstall_sip as sip;

use super::{Caller, MAX_PENDING_RELEASES, PlatformState, RELEASE_CONFIRM_WINDOW};
use crate::exchange_protocol::WireCallId;
use crate::{CallerConnectionId, Transport};

/// A release that has not arrived at its caller is kept this long. The time in which the caller has to learn of it is
/// shorter, but a caller that reconnects later still holds the call.
const RELEASE_TTL: Duration = Duration::from_secs(30);
/// A release is sent to this many connections that are not known to be its caller's.
const MAX_TARGETS: usize = 32;
/// How many of these may have sent no set-up.
const MAX_TARGETS_WITHOUT_SET_UP: usize = 8;
/// While more releases have not arrived, each is sent to one such connection only, so that a mass of releases does not take
/// up the memory.
const MAX_RELEASES_WITH_MANY_TARGETS: usize = 1000;

/// Of the releases that were written to a connection before it closed, and not confirmed, this many are sent on others if no
/// call of it was ever answered. Whoever names calls that nobody has gets a release of each.
const MAX_RESENT_OF_UNKNOWN_CALLER: usize = 100;

/// What a connection has shown of whose it is, in rising order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallerEvidence {
    /// It has sent no valid message.
    Nothing,
    /// It has sent a valid request, as anybody can, such as the release of an unknown call.
    Request,
    /// It has sent a set-up that could be accepted, or named a call.
    SetUp,
    /// A call of it was answered, or it released one that had been: a caller that only disrupts does not get that far.
    KnownCall,
}

/// How far a release has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// No connection that is known to be a usual caller's has got it.
    Open,
    /// It was written to its call's own connection, or one of a usual caller.
    Written { to: CallerConnectionId },
}

#[derive(Debug)]
struct CallerRelease {
    cause: u8,
    since: Duration,
    sent_to: Vec<CallerConnectionId>,
    delivery: Delivery,
}

/// The releases that may not have arrived at their callers.
#[derive(Debug, Default)]
pub struct CallerReleases {
    by_call: BTreeMap<WireCallId, CallerRelease>,
    /// The calls of the releases, oldest first, with the time when each was added.
    by_age: VecDeque<(Duration, WireCallId)>,
    /// Releases whose delivery is open.
    open_count: usize,
}

impl CallerReleases {
    fn insert(&mut self, now: Duration, id: WireCallId, cause: u8) {
        while self.by_age.front().is_some_and(|(since, _)| *since + RELEASE_TTL <= now)
            || self.by_age.len() >= MAX_PENDING_RELEASES
        {
            self.remove_oldest();
        }
        self.remove(id);
        let release = CallerRelease { cause, since: now, sent_to: Vec::new(), delivery: Delivery::Open };
        self.by_call.insert(id, release);
        self.by_age.push_back((now, id));
        self.open_count += 1;
    }

    fn remove_oldest(&mut self) {
        // A later release under the same id has an entry of its own.
        if let Some((since, id)) = self.by_age.pop_front()
            && self.by_call.get(&id).is_some_and(|release| release.since == since)
        {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: WireCallId) {
        if let Some(release) = self.by_call.remove(&id) {
            self.open_count -= usize::from(release.delivery == Delivery::Open);
        }
    }

    fn get(&self, now: Duration, id: WireCallId) -> Option<&CallerRelease> {
        self.by_call.get(&id).filter(|release| release.since + RELEASE_TTL > now)
    }

    fn set_delivery(&mut self, id: WireCallId, delivery: Delivery) {
        if let Some(release) = self.by_call.get_mut(&id) {
            self.open_count -= usize::from(release.delivery == Delivery::Open);
            self.open_count += usize::from(delivery == Delivery::Open);
            release.delivery = delivery;
        }
    }

    /// A release did not arrive on a connection on which it was written.
    fn reopen(&mut self, id: WireCallId, connection: CallerConnectionId) {
        if self
            .by_call
            .get(&id)
            .is_some_and(|release| release.delivery == Delivery::Written { to: connection })
        {
            self.set_delivery(id, Delivery::Open);
        }
    }

    fn open(&self, now: Duration) -> Vec<WireCallId> {
        if self.open_count == 0 {
            return Vec::new();
        }
        let is_open =
            |release: &CallerRelease| release.delivery == Delivery::Open && release.since + RELEASE_TTL > now;
        self.by_call.iter().filter(|(_, release)| is_open(release)).map(|(id, _)| *id).collect()
    }
}

impl Caller {
    /// Whether a release was written recently that it has not confirmed.
    pub fn awaits_confirmation(&self, now: Duration) -> bool {
        self.unconfirmed_releases.iter().any(|(at, _)| *at + RELEASE_CONFIRM_WINDOW > now)
    }

    fn forget_release(&mut self, id: WireCallId) {
        // Responses mostly come in the order of the releases.
        if self.unconfirmed_releases.pop_front_if(|(_, known)| *known == id).is_none() {
            self.unconfirmed_releases.retain(|(_, known)| *known != id);
        }
    }
}

impl PlatformState {
    /// Sends a caller the release of its call: on its own connection if that is open, else on those that may be its own.
    pub fn notify_release(
        &mut self,
        transport: &mut dyn Transport,
        caller: Option<CallerConnectionId>,
        id: WireCallId,
        cause: u8,
    ) {
        self.caller_releases.insert(self.now, id, cause);
        let is_open =
            |connection: &CallerConnectionId| self.evidence_of(*connection) > CallerEvidence::Nothing;
        match caller.filter(is_open) {
            Some(connection) => {
                self.write_release(transport, connection, id);
                self.caller_releases.set_delivery(id, Delivery::Written { to: connection });
            }
            None => self.send_to_likely_callers(transport, id),
        }
    }

    /// What a connection has shown on which releases can be sent.
    fn evidence_of(&self, connection: CallerConnectionId) -> CallerEvidence {
        let caller = self.callers.get(&connection).filter(|caller| !caller.has_left);
        caller.map_or(CallerEvidence::Nothing, |caller| caller.evidence)
    }

    /// The connections that may be those of a caller whose own connection is closed: one of a usual caller if there is any,
    /// else those that have shown most.
    pub fn likely_callers(&self, excluded: &[CallerConnectionId]) -> Vec<CallerConnectionId> {
        let candidates = self.callers.iter().filter(|(connection, _)| {
            self.evidence_of(**connection) > CallerEvidence::Nothing && !excluded.contains(connection)
        });
        let mut ranked: Vec<_> = candidates
            .map(|(connection, caller)| (caller.evidence, caller.last_received, *connection))
            .collect();
        let Some(best) = ranked.iter().max().copied() else { return Vec::new() };
        if best.0 == CallerEvidence::KnownCall
            || self.caller_releases.open_count > MAX_RELEASES_WITH_MANY_TARGETS
        {
            return vec![best.2];
        }
        ranked.sort_unstable_by_key(|candidate| Reverse(*candidate));
        let with_set_up = ranked.iter().filter(|(evidence, ..)| *evidence > CallerEvidence::Request).count();
        ranked.truncate(MAX_TARGETS.min(with_set_up + MAX_TARGETS_WITHOUT_SET_UP));
        ranked.into_iter().map(|(.., connection)| connection).collect()
    }

    fn send_to_likely_callers(&mut self, transport: &mut dyn Transport, id: WireCallId) {
        let Some(release) = self.caller_releases.get(self.now, id) else { return };
        let targets = self.likely_callers(&release.sent_to);
        if targets.is_empty() && release.sent_to.is_empty() {
            transport.log_debug(format_args!("{id} released: waits for a connection to a caller"));
        }
        targets.into_iter().for_each(|connection| self.send_open_release(transport, connection, id));
    }

    /// Sends a release whose delivery is open to a connection, unless that has got it or enough others like it have.
    fn send_open_release(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        id: WireCallId,
    ) {
        let evidence = self.evidence_of(connection);
        let Some(release) = self.caller_releases.get(self.now, id) else { return };
        let (has_it, sent_count) = (release.sent_to.contains(&connection), release.sent_to.len());
        let limit = match evidence {
            CallerEvidence::Nothing => 0,
            CallerEvidence::KnownCall => usize::MAX,
            _ if self.caller_releases.open_count > MAX_RELEASES_WITH_MANY_TARGETS => 1,
            CallerEvidence::Request => MAX_TARGETS_WITHOUT_SET_UP,
            CallerEvidence::SetUp => MAX_TARGETS,
        };
        if !has_it && sent_count < limit {
            self.write_release(transport, connection, id);
        }
        if evidence == CallerEvidence::KnownCall {
            self.caller_releases.set_delivery(id, Delivery::Written { to: connection });
        }
    }

    fn write_release(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        id: WireCallId,
    ) {
        let Some(release) = self.caller_releases.by_call.get_mut(&id) else { return };
        release.sent_to.push(connection);
        let cause = release.cause;
        transport.send_to_caller(connection, &encode_release(id, cause));
        transport.log_debug(format_args!("{id} released: sent to caller {}, cause {cause}", connection.0));
        let Some(caller) = self.callers.get_mut(&connection) else { return };
        let now = self.now;
        let expired = |(at, _): &mut (Duration, WireCallId)| *at + RELEASE_CONFIRM_WINDOW < now;
        while caller.unconfirmed_releases.pop_front_if(expired).is_some() {}
        if caller.unconfirmed_releases.len() < MAX_PENDING_RELEASES {
            caller.unconfirmed_releases.push_back((now, id));
        }
    }

    /// A connection has shown more of whose it is. Releases that have not arrived are sent on it.
    pub fn raise_evidence(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        evidence: CallerEvidence,
    ) {
        let Some(caller) = self.callers.get_mut(&connection) else { return };
        if caller.evidence >= evidence {
            return;
        }
        caller.evidence = evidence;
        for id in self.caller_releases.open(self.now) {
            self.send_open_release(transport, connection, id);
        }
    }

    /// A caller has named a call. If it is one whose release may not have arrived, the caller is sent it again on this
    /// connection, which is its own.
    pub fn tell_release_to_namer(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        id: WireCallId,
    ) -> bool {
        let Some(cause) = self.caller_releases.get(self.now, id).map(|release| release.cause) else {
            return false;
        };
        self.notify_release(transport, Some(connection), id, cause);
        true
    }

    /// A caller has confirmed a release, or shown otherwise that the call is over for it.
    pub fn release_confirmed(&mut self, caller: CallerConnectionId, id: WireCallId) {
        if let Some(caller) = self.callers.get_mut(&caller) {
            caller.forget_release(id);
        }
        self.caller_releases.remove(id);
    }

    /// A caller has turned a release down: the call is another's.
    pub fn release_turned_down(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
        id: WireCallId,
    ) {
        if let Some(caller) = self.callers.get_mut(&connection) {
            caller.forget_release(id);
        }
        self.caller_releases.reopen(id, connection);
        if self.caller_releases.get(self.now, id).is_some_and(|release| release.delivery == Delivery::Open) {
            self.send_to_likely_callers(transport, id);
        }
    }

    /// Removes a caller's connection and sends its unconfirmed releases on others. Returns its calls without a final
    /// answer, of which the controller has to be told.
    pub fn caller_disconnected(
        &mut self,
        transport: &mut dyn Transport,
        connection: CallerConnectionId,
    ) -> Vec<CallId> {
        let Some(caller) = self.callers.remove(&connection) else { return Vec::new() };
        let max_resent = match caller.evidence {
            CallerEvidence::KnownCall => MAX_PENDING_RELEASES,
            _ => MAX_RESENT_OF_UNKNOWN_CALLER,
        };
        let now = self.now;
        let unconfirmed = caller.unconfirmed_releases.into_iter();
        let recent = unconfirmed.filter(|(at, _)| *at + RELEASE_CONFIRM_WINDOW > now).take(max_resent);
        for (_, id) in recent {
            self.caller_releases.reopen(id, connection);
            self.send_to_likely_callers(transport, id);
        }
        caller.open_calls.into_iter().collect()
    }
}

fn encode_release(id: WireCallId, cause: u8) -> Vec<u8> {
    let (wire_id, reason) = (id.to_string(), format!("Q.850;cause={cause}"));
    let headers =
        [("Via", "SIP/2.0/TCP controller"), ("Call-ID", &*wire_id), ("CSeq", "1 BYE"), ("Reason", &*reason)];
    let mut octets = Vec::new();
    sip::encode(&mut octets, "BYE sip:peer@net SIP/2.0", &headers, b"");
    octets
}
