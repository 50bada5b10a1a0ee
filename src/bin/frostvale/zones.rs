//! Decisions on zones as they come over the link, and what is reported of zones. Names on the wire, numbers inside.

use crate::gatekeeper::Gatekeeper;
use frostvale::{RoutingSnapshot, ZoneObservation, ZoneShare};
use frostvale_link::proto::{ZoneLine, ZonePlace, ZoneRow, ZonesGuide, ZonesSeen};
use std::time::{Duration, Instant};

/// The duty whose decisions are about zones.
pub const ZONES_DUTY: &str = "zones";
/// Zones that a decision may speak of.
const ZONES_MOST: usize = 64;

/// The decision in effect.
#[derive(Default)]
pub struct ZoneDecisions {
    version: u64,
    epoch: u64,
    /// Until when it is more than what this gatekeeper does by itself.
    until: Option<Instant>,
    problem: String,
    /// The digest of its rows.
    digest: String,
}

fn name(areas: &[String], zone: u32) -> String {
    areas.get(zone as usize).cloned().unwrap_or_else(|| zone.to_string())
}

/// The row of this gatekeeper's zone, as the module takes it.
fn guide_of(areas: &[String], home: u32, word: &ZonesGuide) -> Result<RoutingSnapshot, String> {
    let own = name(areas, home);
    if word.rows.len() > ZONES_MOST {
        return Err(format!("rows: {ZONES_MOST} at the most"));
    }
    let mut rows = word.rows.iter().filter(|r| r.from == own);
    let Some(row) = rows.next() else { return Err(format!("rows: none is of zone {own}")) };
    if rows.next().is_some() {
        return Err(format!("rows: zone {own} is there twice"));
    }
    let part =
        |start: u32, end: u32| ZoneShare { start: f64::from(start) / 1000.0, end: f64::from(end) / 1000.0 };
    let ZoneRow { near_start_milli, near_end_milli, spill, .. } = row;
    let mut far = Vec::new();
    for s in spill {
        let at = (0..ZONES_MOST as u32).find(|k| name(areas, *k) == s.to && *k != home);
        let Some(at) = at else {
            return Err(format!("rows.spill: zone {:?} is not known here", short(&s.to)));
        };
        far.push((at, part(s.start_milli, s.end_milli)));
    }
    let ms = |ms: u64| ms.min(3_600_000) as f64;
    let guide = RoutingSnapshot {
        local: part(*near_start_milli, *near_end_milli),
        spill: far,
        ramp_ms: ms(word.ramp_ms),
        age_ms: ms(word.age_ms),
        hold_ms: ms(word.hold_ms),
        fade_ms: ms(word.fade_ms),
    };
    guide.check().map_err(|e| e.to_string())?;
    Ok(guide)
}

fn short(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(40).collect()
}

impl ZoneDecisions {
    /// Takes a decision that its fence lets through, or says why not; then nothing has changed.
    pub fn apply_decision(&mut self, gatekeeper: &mut Gatekeeper, word: &ZonesGuide) -> Result<(), String> {
        let epoch = word.fence.as_ref().map_or(0, |f| f.epoch);
        if word.version < self.version {
            self.problem = format!("version {} came after {}", word.version, self.version);
            return Err(self.problem.clone());
        }
        let guide = guide_of(&gatekeeper.conf.areas, gatekeeper.settings.zone, word);
        let guide = match guide {
            Ok(guide) => guide,
            Err(why) => {
                self.problem = why.clone();
                return Err(why);
            }
        };
        let fresh = word.version != self.version;
        if fresh {
            let rows = ZonesGuide { rows: word.rows.clone(), ..ZonesGuide::default() };
            self.digest = crate::applied_versions::digest(&frostvale_link::encode(&rows));
        }
        (self.version, self.epoch) = (word.version, epoch);
        self.until = Some(
            Instant::now() + Duration::from_millis(word.hold_ms.saturating_add(word.fade_ms).min(7_200_000)),
        );
        self.problem.clear();
        if fresh {
            tracing::info!(
                version = word.version,
                epoch,
                "the decision on zones of version {} is in effect",
                word.version
            );
        }
        gatekeeper.guide(guide);
        Ok(())
    }

    /// The version in effect and its digest; 0 and nothing where there is none, or it has faded.
    pub fn in_effect(&self) -> (u64, &str) {
        let holds = self.until.is_some_and(|until| Instant::now() < until);
        if holds { (self.version, &self.digest) } else { (0, "") }
    }

    /// What is told of a look, and what is in effect.
    pub fn observation(&self, gatekeeper: &Gatekeeper, sight: ZoneObservation) -> ZonesSeen {
        let areas = &gatekeeper.conf.areas;
        let milli = |x: f64| (x.max(0.0) * 1000.0).round().min(1e12) as u64;
        let line = |(zone, class, [attempts, bad, late]): (u32, usize, [u32; 3])| ZoneLine {
            to: name(areas, zone),
            class: u32::try_from(class).unwrap_or(u32::MAX),
            attempts,
            bad,
            late,
        };
        let place = |(zone, servers, size, warm): (u32, u32, f64, f64)| ZonePlace {
            zone: name(areas, zone),
            servers,
            size_milli: milli(size),
            warm_milli: milli(warm.min(size)),
        };
        let holds = self.until.is_some_and(|until| Instant::now() < until);
        ZonesSeen {
            zone: name(areas, gatekeeper.settings.zone),
            need_milli: milli(sight.required_concurrency),
            lines: sight.attempt_counts.into_iter().map(line).collect(),
            places: sight.capacity.into_iter().map(place).collect(),
            version: if holds { self.version } else { 0 },
            epoch: if holds { self.epoch } else { 0 },
            problem: self.problem.clone(),
        }
    }
}

#[cfg(test)]
mod tests;
