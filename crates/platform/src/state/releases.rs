//! Releases of standing calls towards exchanges, and by exchanges of calls that are not known here.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use mintstall::interface::ExchangeId;

use super::{
    MAX_PENDING_RELEASES, MAX_RELEASE_REPEATS, NORMAL_CLEARING, PlatformState, RELEASE_REPEAT_INTERVAL,
    RELEASE_REPEAT_WINDOW, StandingCall, UNMATCHED_RELEASE_TTL, UnconfirmedRelease,
};
use crate::exchange_protocol::{self, MessageType, WireCallId, parameter};
use crate::{LinkId, Transport};

impl PlatformState {
    /// Releases a standing call at its exchange: on a link that is up, and again on the next one unless the exchange
    /// confirms it, since what was written on a link may be lost with it.
    pub fn release_at_exchange(&mut self, transport: &mut dyn Transport, to: ExchangeId, id: WireCallId) {
        if let Some(link) = self.oldest_open_link(to) {
            release_on(transport, link, id);
        }
        let now = self.now;
        let Some(remote) = self.exchanges.get_mut(&to) else { return };
        let expired = |release: &mut UnconfirmedRelease| release.since + RELEASE_REPEAT_WINDOW < now;
        while remote.unconfirmed_releases.pop_front_if(expired).is_some() {}
        if remote.unconfirmed_releases.len() == MAX_PENDING_RELEASES {
            remote.unconfirmed_releases.pop_front();
        }
        remote.unconfirmed_releases.push_back(UnconfirmedRelease {
            id,
            since: now,
            repeated_at: None,
            repeats: 0,
        });
    }

    /// An exchange has confirmed a release on the link on which it got it: that of a set-up that was given up on this link,
    /// else that of a call that stood.
    pub fn exchange_confirmed_release(&mut self, link_id: LinkId, by: ExchangeId, id: WireCallId) {
        let now = self.now;
        let link = self.links.get_mut(&link_id);
        if link.is_some_and(|link| link.abandoned_set_ups.confirm(now, id)) {
            return;
        }
        if let Some(remote) = self.exchanges.get_mut(&by) {
            remove_confirmed(&mut remote.unconfirmed_releases, |release| release.id == id);
        }
    }

    /// Sends the releases that wait for a link, or were not confirmed, on one that has come up. They are kept, since
    /// this link may be lost too.
    pub(super) fn repeat_releases(&mut self, transport: &mut dyn Transport, to: ExchangeId, link: LinkId) {
        let now = self.now;
        let Some(remote) = self.exchanges.get_mut(&to) else { return };
        remote.unconfirmed_releases.retain(|release| {
            release.since + RELEASE_REPEAT_WINDOW >= now && release.repeats < MAX_RELEASE_REPEATS
        });
        let is_due = |release: &&mut UnconfirmedRelease| {
            release.repeated_at.is_none_or(|at| at + RELEASE_REPEAT_INTERVAL <= now)
        };
        for release in remote.unconfirmed_releases.iter_mut().filter(is_due) {
            release.repeated_at = Some(now);
            release.repeats += 1;
            release_on(transport, link, release.id);
        }
    }

    /// Keeps the release of a call that is not known here, for the caller that may still name it.
    pub fn keep_unmatched_release(&mut self, id: WireCallId, cause: u8) {
        let now = self.now;
        let expired = |(at, ..): &mut (Duration, WireCallId, u8)| *at + UNMATCHED_RELEASE_TTL < now;
        while self.unmatched_releases.pop_front_if(expired).is_some() {}
        if self.unmatched_releases.len() == MAX_PENDING_RELEASES {
            self.unmatched_releases.pop_front();
        }
        self.unmatched_releases.push_back((now, id, cause));
    }

    /// The cause with which an exchange released a call before its caller named it.
    pub fn unmatched_release(&self, id: WireCallId) -> Option<u8> {
        self.unmatched_releases.iter().rev().find(|(_, known, _)| *known == id).map(|(.., cause)| *cause)
    }

    /// The exchanges at which calls stand.
    pub fn exchanges_with_calls(&self) -> BTreeSet<ExchangeId> {
        self.standing.values().map(|call| call.exchange).collect()
    }

    /// The number of calls that stand at an exchange and were answered before some time.
    pub fn standing_before(&self, exchange: ExchangeId, time: Duration) -> usize {
        let is_before = |call: &&StandingCall| call.exchange == exchange && call.answered_at < time;
        self.standing.values().filter(is_before).count()
    }

    /// Removes and returns the calls at an exchange that were answered before some time.
    pub fn take_standing_calls(
        &mut self,
        exchange: ExchangeId,
        answered_before: Duration,
    ) -> Vec<(WireCallId, StandingCall)> {
        self.standing
            .extract_if(.., |_, call| call.exchange == exchange && call.answered_at < answered_before)
            .collect()
    }
}

/// Sends a release of a call with normal clearing: the caller released it, or it was given up here.
pub fn release_on(transport: &mut dyn Transport, link: LinkId, id: WireCallId) {
    let mut octets = Vec::new();
    exchange_protocol::encode(
        &mut octets,
        MessageType::Release,
        id,
        &[(parameter::CAUSE, &[NORMAL_CLEARING])],
    );
    transport.send_to_link(link, &octets);
}

/// Removes a confirmed release. Confirmations mostly come in the order of the releases.
fn remove_confirmed<T>(releases: &mut VecDeque<T>, is_confirmed: impl Fn(&T) -> bool) {
    if releases.pop_front_if(|release| is_confirmed(release)).is_none() {
        releases.retain(|release| !is_confirmed(release));
    }
}
