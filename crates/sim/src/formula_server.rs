//! A simulated formula server: cores that work on requests in order of arrival, a queue, slow start, and
//! faults.

use frostvale::{AttemptOutcome, Name};
use std::collections::VecDeque;

/// The fault of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ServerFault {
    No,
    /// Slower by this factor.
    Slow(f64),
    /// Answers with errors immediately.
    Errors,
    /// Accepts requests but does not answer.
    Silent,
    /// Refuses connections.
    Dead,
}

/// An attempt at a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    pub id: u64,
    pub attempt: u32,
    /// Its work on a core of speed 1, in ms.
    pub work: f64,
}

/// What a server does with a request that it has received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum JobAdmission {
    /// A core starts it, and completes it after this time in ms.
    Begun(f64),
    /// It waits in the queue.
    Waits,
    /// It is answered with this outcome after this time in ms.
    Answered(AttemptOutcome, f64),
    /// It is never answered.
    Nothing,
}

/// Time in ms of an answer without work.
pub(crate) const ERROR_MS: f64 = 0.3;

/// The state of one formula server.
pub(crate) struct FormulaServer {
    pub name: Name,
    pub zone: u32,
    pub cell: u32,
    pub kind: u32,
    pub cores: u32,
    pub speed: f64,
    /// Start of its process in ms; 0 means long before the run.
    pub since: f64,
    pub fault: ServerFault,
    /// Whether it failed because of overload in slow start.
    pub has_failed: bool,
    /// Incarnation; the jobs of an earlier one are lost.
    pub incarnation: u32,
    pub max_queue: usize,
    pub working: Vec<Job>,
    pub waiting: VecDeque<Job>,
    /// Work received within the last second of slow start: time of arrival and ms of work.
    recent: VecDeque<(f64, f64)>,
    recent_work: f64,
    /// Work received within the last second as a share of the overload limit, at the last request; 0 after
    /// slow start.
    pub cold_load: f64,
    /// The maximum of `cold_load`.
    pub max_cold_load: f64,
    /// Number of attempts it received.
    pub attempts: u64,
    /// Sum of its cores' work in ms.
    pub worked: f64,
}

/// Settings of the slow start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowStart {
    /// Share of the capacity at the start.
    pub from: f64,
    /// Time in ms to full capacity.
    pub warm_ms: f64,
    /// A server that receives more than this multiple of its present capacity within a second fails.
    pub times: f64,
}

impl FormulaServer {
    pub fn new(
        name: Name,
        place: (u32, u32),
        kind: u32,
        cores: u32,
        speed: f64,
        max_queue: usize,
    ) -> FormulaServer {
        FormulaServer {
            name,
            zone: place.0,
            cell: place.1,
            kind,
            cores,
            speed,
            since: 0.0,
            fault: ServerFault::No,
            has_failed: false,
            incarnation: 0,
            max_queue,
            working: Vec::new(),
            waiting: VecDeque::new(),
            recent: VecDeque::new(),
            recent_work: 0.0,
            cold_load: 0.0,
            max_cold_load: 0.0,
            attempts: 0,
            worked: 0.0,
        }
    }

    /// The share of its capacity that it has at this time.
    pub fn capacity_share(&self, now: f64, slow_start: &SlowStart) -> f64 {
        if self.since <= 0.0 || slow_start.warm_ms <= 0.0 {
            return 1.0;
        }
        slow_start.from + (1.0 - slow_start.from) * ((now - self.since) / slow_start.warm_ms).clamp(0.0, 1.0)
    }

    /// Whether the server accepts connections.
    pub fn is_up(&self) -> bool {
        !self.has_failed && self.fault != ServerFault::Dead
    }

    /// Number of jobs in work and in the queue.
    pub fn in_flight(&self) -> usize {
        self.working.len() + self.waiting.len()
    }

    /// Time in ms that a core takes for this work now.
    fn service_time(&self, work: f64, now: f64, slow_start: &SlowStart) -> f64 {
        let slowdown = if let ServerFault::Slow(times) = self.fault { times } else { 1.0 };
        work * slowdown / (self.speed * self.capacity_share(now, slow_start))
    }

    /// Accepts a request that is received whole. With `is_duplicate`, its key is known, so it is answered and
    /// not run. Returns what the server does with it, and whether it overloaded the server.
    pub fn accept(
        &mut self,
        job: Job,
        is_duplicate: bool,
        now: f64,
        slow_start: &SlowStart,
    ) -> (JobAdmission, bool) {
        self.attempts += 1;
        let capacity_share = self.capacity_share(now, slow_start);
        self.cold_load = 0.0;
        if capacity_share < 1.0 {
            // All received work counts, whatever the server does with it.
            self.recent.push_back((now, job.work));
            self.recent_work += job.work;
            while self.recent.front().is_some_and(|(at, _)| now - at > 1000.0) {
                self.recent_work -= self.recent.pop_front().map_or(0.0, |(_, work)| work);
            }
            let can = 1000.0 * f64::from(self.cores) * self.speed * capacity_share;
            if self.recent.len() > 1 {
                self.cold_load = (self.recent_work - job.work) / (slow_start.times * can);
                self.max_cold_load = self.max_cold_load.max(self.cold_load);
            }
            // A single request that exceeds the limit by itself does not count as overload.
            if self.recent.len() > 1 && self.recent_work - job.work > slow_start.times * can {
                self.has_failed = true;
                return (JobAdmission::Nothing, true);
            }
        }
        let taken = match self.fault {
            ServerFault::Silent | ServerFault::Dead => JobAdmission::Nothing,
            ServerFault::Errors => JobAdmission::Answered(AttemptOutcome::Error, ERROR_MS),
            _ if is_duplicate => JobAdmission::Answered(AttemptOutcome::Ok, ERROR_MS),
            _ if self.working.len() < self.cores as usize => {
                JobAdmission::Begun(self.begin(job, now, slow_start))
            }
            _ if self.waiting.len() < self.max_queue => {
                self.waiting.push_back(job);
                JobAdmission::Waits
            }
            _ => JobAdmission::Answered(AttemptOutcome::Full, ERROR_MS),
        };
        (taken, false)
    }

    /// Starts a job on a core; returns the ms that it takes.
    fn begin(&mut self, job: Job, now: f64, slow_start: &SlowStart) -> f64 {
        let ms = self.service_time(job.work, now, slow_start);
        self.worked += ms;
        self.working.push(job);
        ms
    }

    /// Completes a job. Returns the next one from the queue and the ms that it takes.
    pub fn complete(
        &mut self,
        id: u64,
        attempt: u32,
        now: f64,
        slow_start: &SlowStart,
    ) -> Option<(Job, f64)> {
        if let Some(at) = self.working.iter().position(|j| (j.id, j.attempt) == (id, attempt)) {
            self.working.swap_remove(at);
        }
        let next = self.waiting.pop_front()?;
        let ms = self.begin(next, now, slow_start);
        Some((next, ms))
    }

    /// Ends this incarnation and returns its unfinished jobs.
    pub fn stop(&mut self) -> Vec<Job> {
        self.incarnation += 1;
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
    fn accept_fills_cores_then_queue_then_answers_full_and_complete_starts_the_next() {
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
    fn server_in_slow_start_is_slow_and_fails_past_twice_its_capacity() {
        let mut s = server();
        s.since = 1.0;
        assert_eq!(s.accept(job(0), false, 1.0, &COLD).0, JobAdmission::Begun(400.0));
        // Its capacity is 500 ms of work per second; it tolerates 1,000 and the request that exceeds them.
        let over = (1..20).find(|k| s.accept(job(*k), false, 1.0, &COLD).1);
        assert_eq!(over, Some(11));
        assert!(!s.is_up());
    }
}
