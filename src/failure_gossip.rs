//! What many gatekeepers tell each other of servers that fail, so that not each of them must find out by itself.
//!
//! A hundred gatekeepers that see five requests a second each meet a given server of sixty once in ten seconds. One that has
//! died, crawls or fails in no time then takes its full share of requests until every gatekeeper has lost some to it. So
//! whoever sees an attempt fail says so to all at once, unless enough others have just said it: a moment drawn by lot lets
//! a few speak for all. What was said fades in seconds, one gatekeeper counts once, and a server that all speak ill of is
//! still tried now and then, so a rumour that is wrong or old rights itself. Where all servers are ill spoken of alike the
//! choice is as if none were.
//!
//! Nothing here knows what the choice makes of it, does I/O or reads a clock.

use crate::api::Name;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// A rumour fades over this time.
const FADE_MS: f64 = 3000.0;
/// So many gatekeepers are remembered of those that speak ill of a server, the latest of each.
const VOICES: usize = 4;
/// With so much heard from others there is no news in saying it too.
const ENOUGH: f64 = 1.5;
/// News waits for up to so long, by lot.
const LOT_MS: f64 = 100.0;
/// An attempt that takes so many times what was expected is spoken of before it ends.
const OVERDUE: f64 = 5.0;
/// How often the average is taken, and of how many servers.
const USUAL_MS: f64 = 200.0;
const USUAL_OF: usize = 64;
/// Notes that one gatekeeper may send at one stroke, and the part of a second's that all may have sent of late: a burst of two
/// from each of three hundred is ten seconds of what everyone takes in, and whatever else is said then is lost.
const BURST: f64 = 2.0;
const AIR_PART: f64 = 0.1;
/// What waits for the others to be silent draws its moment over this time, so that not all speak when they are.
const TURN_MS: f64 = 1000.0;
/// The most servers that one note names.
const NAMED: usize = 16;

/// A note of rumours begins with this; no other does.
pub(crate) const GOSSIP_MARK: char = '!';

/// What is said of one server: who spoke ill of it, and when.
#[derive(Clone, Default)]
struct Talk {
    voices: [Option<(u32, f64)>; VOICES],
}

impl Talk {
    fn put(&mut self, who: u32, now: f64) {
        let at = |voice: &Option<(u32, f64)>| voice.map_or(f64::NEG_INFINITY, |(_, at)| at);
        let same = self.voices.iter().position(|v| v.is_some_and(|(by, _)| by == who));
        let oldest = (0..VOICES).min_by(|a, b| at(&self.voices[*a]).total_cmp(&at(&self.voices[*b])));
        if let Some(k) = same.or(oldest) {
            self.voices[k] = Some((who, now));
        }
    }

    fn sum(&self, now: f64, but: Option<u32>) -> f64 {
        let voices = self.voices.iter().flatten().filter(|(who, _)| Some(*who) != but);
        voices.map(|(_, at)| (-(now - at).max(0.0) / FADE_MS).exp()).sum()
    }
}

/// What one gatekeeper has heard and seen.
pub(crate) struct FailureGossip {
    me: u32,
    /// Notes a second that this gatekeeper may send to all; nothing is sent or heard where it is 0.
    rate: f64,
    left: f64,
    left_at: f64,
    /// Notes to all a second from all gatekeepers, and those of late, ours and others', as of when. Who hears all that is
    /// said to all knows without asking how much of that everyone had to take in.
    rate_all: f64,
    air: f64,
    air_at: f64,
    /// The servers that the list has named, by the short form of their names.
    known: BTreeMap<u32, Talk>,
    news: BTreeSet<u32>,
    due: f64,
    /// When the host wakes us.
    woken_at: f64,
    /// Attempts that are out: until when each may be, in microseconds, and its server; and the same in order of time.
    out: BTreeMap<u64, (u64, Name)>,
    by_time: BTreeSet<(u64, u64)>,
    /// What is said of a server on average, as of when, and the server to go on from for the next.
    usual: f64,
    usual_at: f64,
    usual_from: u32,
    /// Lots of its own, so that those of the decisions stay what they were.
    rng: Pcg64Mcg,
    /// Words that could not be read, or were of nobody we know.
    pub dropped_entries: u64,
}

fn micros(ms: f64) -> u64 {
    (ms * 1000.0).max(0.0) as u64
}

/// A server's name in rumours.
fn short(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

impl FailureGossip {
    /// For gatekeeper `me` of so many, which together may send so many notes to all a second. With 0 it neither speaks nor
    /// listens.
    pub fn new((me, gatekeepers): (u32, u32), rate_all: f64, seed: u64) -> FailureGossip {
        FailureGossip {
            me,
            rate: rate_all / f64::from(gatekeepers.max(1)),
            left: BURST,
            left_at: 0.0,
            rate_all,
            air: 0.0,
            air_at: 0.0,
            known: BTreeMap::new(),
            news: BTreeSet::new(),
            due: f64::INFINITY,
            woken_at: f64::NEG_INFINITY,
            out: BTreeMap::new(),
            by_time: BTreeSet::new(),
            usual: 0.0,
            usual_at: f64::NEG_INFINITY,
            usual_from: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            dropped_entries: 0,
        }
    }

    /// The list names a server, or takes it away. One that has started anew is spoken of anew.
    pub fn server_listed(&mut self, name: &str, up: bool, anew: bool) {
        if self.rate <= 0.0 {
            return;
        }
        let id = short(name);
        if !up || anew {
            self.known.remove(&id);
            self.news.remove(&id);
        }
        if up {
            self.known.entry(id).or_default();
        }
    }

    /// An attempt of ours has begun that should take so long. Waiting for its end would tell of a server that hangs
    /// only when the client has nothing more of it.
    pub fn attempt_sent(&mut self, now: f64, attempt: u64, name: &Name, expected: f64) {
        // Before any answer nothing is known of what to expect.
        if self.rate > 0.0 && expected > 0.0 {
            self.forget(attempt);
            let until = micros(now + OVERDUE * expected);
            self.out.insert(attempt, (until, name.clone()));
            self.by_time.insert((until, attempt));
        }
    }

    /// It has ended: well, badly, or in a way that says nothing. One that was overdue has been spoken of.
    pub fn attempt_ended(&mut self, now: f64, attempt: u64, name: &str, well: Option<bool>) {
        let watched = self.forget(attempt);
        match well {
            Some(true) if watched.is_some_and(|(until, _)| micros(now) < until) => self.good(now, name),
            Some(false) => self.bad(now, name),
            _ => {}
        }
    }

    fn forget(&mut self, attempt: u64) -> Option<(u64, Name)> {
        let watched = self.out.remove(&attempt)?;
        self.by_time.remove(&(watched.0, attempt));
        Some(watched)
    }

    /// Speaks of attempts that have been out for too long by now.
    fn watch(&mut self, now: f64) {
        while let Some((_, attempt)) =
            self.by_time.first().copied().filter(|(until, _)| *until <= micros(now))
        {
            if let Some((_, name)) = self.forget(attempt) {
                self.bad(now, &name);
            }
        }
    }

    /// An attempt of ours failed, or takes far too long.
    fn bad(&mut self, now: f64, name: &str) {
        let (id, me) = (short(name), self.me);
        let Some(talk) = self.known.get_mut(&id) else { return };
        talk.put(me, now);
        if talk.sum(now, Some(me)) < ENOUGH && self.news.len() < NAMED {
            self.news.insert(id);
            self.due = self.due.min(now + self.rng.random::<f64>() * LOT_MS);
        }
    }

    /// An attempt of ours was answered well and in time: what we and others said before counts half.
    fn good(&mut self, now: f64, name: &str) {
        let id = short(name);
        let Some(talk) = self.known.get_mut(&id) else { return };
        for voice in &mut talk.voices {
            *voice = voice
                .map(|(who, at)| (who, at - FADE_MS * std::f64::consts::LN_2))
                .filter(|(_, at)| now - at < 4.0 * FADE_MS);
        }
        self.news.remove(&id);
    }

    /// Another gatekeeper's words. What can't be read, names too many or nobody we know changes nothing.
    pub fn receive(&mut self, now: f64, from: u32, text: &str) {
        let text = text.strip_prefix(GOSSIP_MARK).unwrap_or_default();
        if self.rate <= 0.0 || from == self.me {
            return;
        }
        self.aired(now);
        if text.split(',').nth(NAMED).is_some() {
            self.dropped_entries += 1;
            return;
        }
        for word in text.split(',') {
            let id = u32::from_str_radix(word, 16).ok().filter(|_| word.len() <= 8);
            let Some((id, talk)) = id.and_then(|id| Some((id, self.known.get_mut(&id)?))) else {
                self.dropped_entries += 1;
                continue;
            };
            talk.put(from, now);
            if talk.sum(now, Some(self.me)) >= ENOUGH {
                self.news.remove(&id);
            }
        }
    }

    /// What has lately been said to all, as notes.
    fn on_air(&self, now: f64) -> f64 {
        (self.air - self.rate_all * (now - self.air_at).max(0.0) / 1000.0).max(0.0)
    }

    fn aired(&mut self, now: f64) {
        // A second's at the most: one that floods all must not silence them for longer than it speaks.
        (self.air, self.air_at) = ((self.on_air(now) + 1.0).min(self.rate_all.max(1.0)), now);
    }

    /// The note to all that is due, if one is.
    pub fn take_due_message(&mut self, now: f64) -> Option<String> {
        if self.rate <= 0.0 {
            return None;
        }
        self.watch(now);
        self.average(now);
        if now < self.due {
            return None;
        }
        self.left = (self.left + self.rate * (now - self.left_at).max(0.0) / 1000.0).min(BURST);
        self.left_at = now;
        // What had to wait for so long that it has faded is no news.
        let fresh =
            |talk: &Talk, me| talk.voices.iter().flatten().any(|(who, at)| *who == me && now - at < FADE_MS);
        let (known, me) = (&self.known, self.me);
        self.news.retain(|id| known.get(id).is_some_and(|talk| fresh(talk, me)));
        if self.news.is_empty() {
            self.due = f64::INFINITY;
            return None;
        }
        if self.left < 1.0 {
            self.due = now + 1000.0 * (1.0 - self.left) / self.rate;
            return None;
        }
        let air = self.on_air(now);
        if air > AIR_PART * self.rate_all {
            // Others have said as much as all can take in: after them, if it is still news then.
            self.due = now + 1000.0 * air / self.rate_all + self.rng.random::<f64>() * TURN_MS;
            return None;
        }
        self.aired(now);
        self.left -= 1.0;
        self.due = f64::INFINITY;
        let ids = std::mem::take(&mut self.news);
        let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
        Some(format!("{GOSSIP_MARK}{}", ids.join(",")))
    }

    /// In how many ms the host should wake us for what is due or overdue next, unless it does so soon enough: a gatekeeper
    /// that sees little must not keep its news until its next request.
    pub fn next_wakeup_ms(&mut self, now: f64) -> Option<f64> {
        let overdue = self.by_time.first().map_or(f64::INFINITY, |(until, _)| *until as f64 / 1000.0);
        let next = self.due.min(overdue);
        let pending = if self.woken_at > now { self.woken_at } else { f64::INFINITY };
        (next + 1.0 < pending).then(|| {
            let after = (next - now).max(1.0);
            self.woken_at = now + after;
            after
        })
    }

    /// How ill a server is spoken of: 0 not at all, 1 for each fresh voice.
    pub fn report_score(&self, now: f64, name: &str) -> f64 {
        if self.rate <= 0.0 {
            return 0.0;
        }
        let said = self.known.get(&short(name)).map_or(0.0, |talk| talk.sum(now, None));
        (said - self.usual).max(0.0)
    }

    /// What is said of a server on average, taken of some: in a bad hour all are ill spoken of, and none is to be left for it.
    fn average(&mut self, now: f64) {
        if now - self.usual_at < USUAL_MS {
            return;
        }
        self.usual_at = now;
        // Not always the same ones of a large fleet.
        let from = self.known.range(self.usual_from..).chain(self.known.range(..self.usual_from));
        let (mut sum, mut count) = (0.0, 0.0);
        let mut last = 0;
        for (id, talk) in from.take(USUAL_OF) {
            (sum, count, last) = (sum + talk.sum(now, None), count + 1.0, *id);
        }
        self.usual = if count > 0.0 { sum / count } else { 0.0 };
        self.usual_from = last;
    }
}

#[cfg(test)]
mod tests;
