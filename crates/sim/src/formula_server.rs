//! A formula server: cores that work on requests in the order they came, a queue, a cold start, and the ways it is sick.

use frostvale::{AttemptOutcome, Name};
use std::collections::VecDeque;

/// What is wrong with a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ServerFault {
    No,
    /// So many times slower.
    Slow(f64),
    /// Errors, in no time.
    Errors,
    /// Takes requests and says nothing.
    Silent,
    /// Connections are refused.
    Dead,
}

/// A request at a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    pub id: u64,
    pub attempt: u32,
    /// Its work on a core of speed 1, in ms.
    pub work: f64,
}

/// What becomes of a request that has come whole to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum JobAdmission {
    /// It is begun, and done after so many ms.
    Begun(f64),
    /// It waits.
    Waits,
    /// It is answered so after so many ms.
    Answered(AttemptOutcome, f64),
    /// Nothing comes of it.
    Nothing,
}

/// An answer without work takes so many ms.
pub(crate) const ERROR_MS: f64 = 0.3;

pub(crate) struct FormulaServer {
    pub name: Name,
    pub zone: u32,
    pub cell: u32,
    pub kind: u32,
    pub cores: u32,
    pub speed: f64,
    /// When it started; 0 is long ago.
    pub since: f64,
    pub sick: ServerFault,
    /// Whether it has fallen over.
    pub fallen: bool,
    /// Its life: what a former one had is gone.
    pub life: u32,
    pub queue_most: usize,
    pub working: Vec<Job>,
    pub waiting: VecDeque<Job>,
    /// Work that came within the last second while it was cold: when, and how much.
    recent: VecDeque<(f64, f64)>,
    recent_work: f64,
    /// What came within a second as a part of what pushes it over, with the last request and at the most; 0 while warm.
    pub cold_load: f64,
    /// See `cold_load`.
    pub cold_most: f64,
    /// Attempts it was sent, and the ms its cores worked.
    pub attempts: u64,
    pub worked: f64,
}

/// How a cold start goes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowStart {
    pub from: f64,
    pub warm_ms: f64,
    /// More than so many times what it can do, within a second, and it falls over.
    pub times: f64,
}

impl FormulaServer {
    pub fn new(
        name: Name,
        place: (u32, u32),
        kind: u32,
        cores: u32,
        speed: f64,
        queue_most: usize,
    ) -> FormulaServer {
        FormulaServer {
            name,
            zone: place.0,
            cell: place.1,
            kind,
            cores,
            speed,
            since: 0.0,
            sick: ServerFault::No,
            fallen: false,
            life: 0,
            queue_most,
            working: Vec::new(),
            waiting: VecDeque::new(),
            recent: VecDeque::new(),
            recent_work: 0.0,
            cold_load: 0.0,
            cold_most: 0.0,
            attempts: 0,
            worked: 0.0,
        }
    }

    /// The part of its capacity that it has by now.
    pub fn warmth(&self, now: f64, cold: &SlowStart) -> f64 {
        if self.since <= 0.0 || cold.warm_ms <= 0.0 {
            return 1.0;
        }
        cold.from + (1.0 - cold.from) * ((now - self.since) / cold.warm_ms).clamp(0.0, 1.0)
    }

    pub fn is_up(&self) -> bool {
        !self.fallen && self.sick != ServerFault::Dead
    }

    pub fn in_flight(&self) -> usize {
        self.working.len() + self.waiting.len()
    }

    fn time(&self, work: f64, now: f64, cold: &SlowStart) -> f64 {
        let slower = if let ServerFault::Slow(times) = self.sick { times } else { 1.0 };
        work * slower / (self.speed * self.warmth(now, cold))
    }

    /// A request's last byte has come. `again`: its key is remembered, so it is answered and not done. Gives what
    /// becomes of it, and whether the server was pushed over by it.
    pub fn accept(&mut self, job: Job, again: bool, now: f64, cold: &SlowStart) -> (JobAdmission, bool) {
        self.attempts += 1;
        let warmth = self.warmth(now, cold);
        self.cold_load = 0.0;
        if warmth < 1.0 {
            // What was sent counts, whatever comes of it.
            self.recent.push_back((now, job.work));
            self.recent_work += job.work;
            while self.recent.front().is_some_and(|(at, _)| now - at > 1000.0) {
                self.recent_work -= self.recent.pop_front().map_or(0.0, |(_, work)| work);
            }
            let can = 1000.0 * f64::from(self.cores) * self.speed * warmth;
            if self.recent.len() > 1 {
                self.cold_load = (self.recent_work - job.work) / (cold.times * can);
                self.cold_most = self.cold_most.max(self.cold_load);
            }
            // One request that is already more than that by itself is nobody's fault.
            if self.recent.len() > 1 && self.recent_work - job.work > cold.times * can {
                self.fallen = true;
                return (JobAdmission::Nothing, true);
            }
        }
        let taken = match self.sick {
            ServerFault::Silent | ServerFault::Dead => JobAdmission::Nothing,
            ServerFault::Errors => JobAdmission::Answered(AttemptOutcome::Error, ERROR_MS),
            _ if again => JobAdmission::Answered(AttemptOutcome::Ok, ERROR_MS),
            _ if self.working.len() < self.cores as usize => JobAdmission::Begun(self.begin(job, now, cold)),
            _ if self.waiting.len() < self.queue_most => {
                self.waiting.push_back(job);
                JobAdmission::Waits
            }
            _ => JobAdmission::Answered(AttemptOutcome::Full, ERROR_MS),
        };
        (taken, false)
    }

    fn begin(&mut self, job: Job, now: f64, cold: &SlowStart) -> f64 {
        let ms = self.time(job.work, now, cold);
        self.worked += ms;
        self.working.push(job);
        ms
    }

    /// A request is done; gives the next one and how long it takes.
    pub fn complete(&mut self, id: u64, attempt: u32, now: f64, cold: &SlowStart) -> Option<(Job, f64)> {
        if let Some(at) = self.working.iter().position(|j| (j.id, j.attempt) == (id, attempt)) {
            self.working.swap_remove(at);
        }
        let next = self.waiting.pop_front()?;
        let ms = self.begin(next, now, cold);
        Some((next, ms))
    }

    /// This life ends; gives what it had in hand.
    pub fn stop(&mut self) -> Vec<Job> {
        self.life += 1;
        self.recent.clear();
        self.recent_work = 0.0;
        self.working.drain(..).chain(self.waiting.drain(..)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const COLD: SlowStart = SlowStart { from: 0.25, warm_ms: 10_000.0, times: 2.0 };

    fn job(id: u64) -> Job {
        Job { id, attempt: 0, work: 100.0 }
    }

    fn server() -> FormulaServer {
        FormulaServer::new("s".into(), (0, 0), 0, 2, 1.0, 1)
    }

    #[test]
    fn cores_then_the_queue_then_full_and_the_next_begins_when_one_is_done() {
        let mut s = server();
        let mut take = |id| s.accept(job(id), false, 0.0, &COLD).0;
        assert_eq!(
            [take(1), take(2), take(3), take(4)],
            [
                JobAdmission::Begun(100.0),
                JobAdmission::Begun(100.0),
                JobAdmission::Waits,
                JobAdmission::Answered(AttemptOutcome::Full, ERROR_MS)
            ]
        );
        assert_eq!(s.complete(1, 0, 100.0, &COLD).map(|(j, ms)| (j.id, ms)), Some((3, 100.0)));
        assert_eq!(s.stop().len(), 2);
        assert_eq!(s.in_flight(), 0);
    }

    #[test]
    fn a_cold_one_is_slow_and_falls_over_past_twice_what_it_can_do() {
        let mut s = server();
        s.since = 1.0;
        assert_eq!(s.accept(job(0), false, 1.0, &COLD).0, JobAdmission::Begun(400.0));
        // 500 ms of work a second is all it can do; it bears 1,000 and the one that passes them.
        let over = (1..20).find(|k| s.accept(job(*k), false, 1.0, &COLD).1);
        assert_eq!(over, Some(11));
        assert!(!s.is_up());
    }
}
