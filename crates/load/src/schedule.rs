//! Who asks for what, and when. No input or output, no clock: the same seed gives the same schedule.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, weighted::WeightedAliasIndex};

/// How busy shops are against each other: the k-th has 1 / k^S of the first's demand (Zipf's law).
pub const ZIPF_EXPONENT: f64 = 0.8;
/// The part of the demand that a town with room serves, where no overload is asked for.
pub const SERVED_FRACTION: f64 = 0.9;
/// Shops at the most.
const SHOPS_MOST: usize = 200_000;
/// The part of arrivals that come as rate limit calls.
pub const GRPC_FRACTION: f64 = 0.25;
/// The part of RESP2 requests that record a mix.
const MIX_PART: f64 = 1.0 / 3.0;

/// A plan as it matters here.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second that one shop of it may have.
    pub rate: f64,
    /// Shops of it among a hundred.
    pub part: u32,
}

/// The brief's four plans: many small shops, few large ones.
#[must_use]
pub fn example_plans() -> Vec<Plan> {
    let plan = |name: &str, rate, part| Plan { name: name.into(), rate, part };
    vec![
        plan("distribuidor", 25.0, 8),
        plan("ferreteria", 10.0, 22),
        plan("tienda", 3.2, 30),
        plan("basico", 1.4, 40),
    ]
}

/// A shop and what it asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Shop {
    /// 16 hex digits.
    pub id: String,
    /// Its plan, by its place among the plans.
    pub plan: usize,
    /// Its set.
    pub first: u32,
    /// How many gatekeepers the set has.
    pub spread: u32,
    /// Requests a second.
    pub demand: f64,
}

/// How the load is meant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadProfile {
    /// So many shops that about nine in ten requests fit their quotas, some shops busier than their plan.
    WithinQuota,
    /// Every shop asks for so many times its quota, 0.01 to 1000.
    Overload(f64),
}

/// Shops whose demand adds up to `rate` requests a second, over so many gatekeepers.
///
/// # Errors
/// When no such shops can be had: then the text says what to change.
pub fn shops(
    rate: f64,
    aim: LoadProfile,
    plans: &[Plan],
    gatekeepers: u32,
    spread: u32,
) -> Result<Vec<Shop>, String> {
    if plans.is_empty() || plans.iter().any(|p| p.rate <= 0.0 || p.part == 0) {
        return Err("plans: at least one, each with a rate and a part over 0".into());
    }
    match aim {
        LoadProfile::Overload(times) => {
            if !(0.01..=1000.0).contains(&times) {
                return Err(format!("overload {times}: 0.01 to 1000 times the quota"));
            }
            let mean = plans.iter().map(|p| p.rate * f64::from(p.part)).sum::<f64>()
                / plans.iter().map(|p| f64::from(p.part)).sum::<f64>();
            let count = ((rate / (times * mean)).round() as usize).clamp(plans.len(), SHOPS_MOST);
            let mut all = named(count, plans, gatekeepers, spread);
            let quota: f64 = all.iter().map(|s| plans[s.plan].rate).sum();
            all.iter_mut().for_each(|s| s.demand = rate * plans[s.plan].rate / quota);
            Ok(all)
        }
        LoadProfile::WithinQuota => {
            // More shops have more quota together: the least number that does.
            let fits = |count: usize| {
                served_fraction(&zipf(rate, count, plans, gatekeepers, spread), plans) >= SERVED_FRACTION
            };
            let (mut few, mut many) = (plans.len(), plans.len());
            while !fits(many) {
                if many >= SHOPS_MOST {
                    return Err(format!(
                        "rate {rate}: more than {SHOPS_MOST} shops of these plans would be needed"
                    ));
                }
                (few, many) = (many, (many * 2).min(SHOPS_MOST));
            }
            while many - few > 1 {
                let middle = few.midpoint(many);
                if fits(middle) { many = middle } else { few = middle }
            }
            Ok(zipf(rate, many, plans, gatekeepers, spread))
        }
    }
}

fn zipf(rate: f64, count: usize, plans: &[Plan], gatekeepers: u32, spread: u32) -> Vec<Shop> {
    let mut all = named(count, plans, gatekeepers, spread);
    // The busiest have the largest plans, as they would.
    all.sort_by(|a, b| plans[b.plan].rate.total_cmp(&plans[a.plan].rate));
    let weight = |k: usize| ((k + 1) as f64).powf(-ZIPF_EXPONENT);
    let sum: f64 = (0..count).map(weight).sum();
    all.iter_mut().enumerate().for_each(|(k, s)| s.demand = rate * weight(k) / sum);
    all
}

fn named(count: usize, plans: &[Plan], gatekeepers: u32, spread: u32) -> Vec<Shop> {
    let parts: u32 = plans.iter().map(|p| p.part).sum();
    let gatekeepers = gatekeepers.max(1);
    let shop = |k: usize| {
        // A step that shares no factor with the parts takes the plans in their parts, well mixed.
        let mut left = (k as u32 % parts).wrapping_mul(37) % parts;
        let plan = plans.iter().position(|p| {
            let here = left < p.part;
            left = left.saturating_sub(p.part);
            here
        });
        Shop {
            id: format!("{:016x}", 0x1000 + k as u64 * 7919),
            plan: if k < plans.len() { k } else { plan.unwrap_or(0) },
            first: k as u32 % gatekeepers,
            spread: spread.clamp(1, gatekeepers),
            demand: 0.0,
        }
    };
    (0..count).map(shop).collect()
}

/// The part of the demand that fits the shops' quotas.
#[must_use]
pub fn served_fraction(shops: &[Shop], plans: &[Plan]) -> f64 {
    let all: f64 = shops.iter().map(|s| s.demand).sum();
    shops.iter().map(|s| s.demand.min(plans[s.plan].rate)).sum::<f64>() / all
}

/// How a request comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A formula is read.
    Read,
    /// A mix is recorded.
    Mix,
    /// A rate limit call.
    Check,
}

/// A first try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When it is due, in seconds from the beginning.
    pub at: f64,
    /// Whose, by its place among the shops.
    pub shop: usize,
    /// How it comes.
    pub kind: RequestKind,
    /// Which gatekeeper of the shop's set it comes to, from 0.
    pub turn: u32,
}

/// The first tries, one after the other, without end.
pub struct Schedule {
    rng: StdRng,
    pause: Exp<f64>,
    pick: WeightedAliasIndex<f64>,
    spreads: Vec<u32>,
    grpc: f64,
    at: f64,
}

impl Schedule {
    /// Of these shops; `grpc` is the part that comes as rate limit calls.
    ///
    /// # Errors
    /// When the shops ask for nothing.
    pub fn new(shops: &[Shop], grpc: f64, seed: u64) -> Result<Schedule, String> {
        let rate: f64 = shops.iter().map(|s| s.demand).sum();
        Ok(Schedule {
            rng: StdRng::seed_from_u64(seed),
            pause: Exp::new(rate).map_err(|e| format!("rate {rate}: {e}"))?,
            pick: WeightedAliasIndex::new(shops.iter().map(|s| s.demand).collect())
                .map_err(|e| format!("shops: {e}"))?,
            spreads: shops.iter().map(|s| s.spread).collect(),
            grpc,
            at: 0.0,
        })
    }
}

impl Iterator for Schedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.at += self.pause.sample(&mut self.rng);
        let shop = self.pick.sample(&mut self.rng);
        let kind = if self.rng.random_bool(self.grpc) {
            RequestKind::Check
        } else if self.rng.random_bool(MIX_PART) {
            RequestKind::Mix
        } else {
            RequestKind::Read
        };
        let turn = self.rng.random_range(0..self.spreads[shop]);
        Some(Arrival { at: self.at, shop, kind, turn })
    }
}

/// Tries of one request at the most, with the first.
pub const MAX_TRIES: u32 = 3;
/// A client's own pause before its second try, in ms; twice as long before each further one.
const PAUSE_MS: f64 = 150.0;

/// When a client that was refused comes again, in ms from the refusal: when it was told to, else after a pause of its
/// own, between half of it and the whole by lot. None if that would be past its patience, or it has tried enough.
pub fn retry_delay_ms(tries: u32, told_ms: Option<u64>, left_ms: f64, lot: f64) -> Option<f64> {
    let own = PAUSE_MS * f64::from(1u32 << tries.min(16)) / 2.0;
    let pause = told_ms.map_or(own * (0.5 + lot / 2.0), |ms| ms as f64);
    (tries < MAX_TRIES && pause < left_ms).then_some(pause)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(24))]

        #[test]
        fn shops_fit_whatever_the_rate(rate in 1.0f64..20_000.0, gatekeepers in 1u32..100, spread in 1u32..5) {
            let plans = example_plans();
            let all = shops(rate, LoadProfile::WithinQuota, &plans, gatekeepers, spread).expect("shops");
            let sum: f64 = all.iter().map(|s| s.demand).sum();
            prop_assert!((sum / rate - 1.0).abs() < 1e-6, "{sum}");
            let part = served_fraction(&all, &plans);
            prop_assert!(part >= SERVED_FRACTION && (part < 0.97 || all.len() <= 8), "{part} with {} shops", all.len());
            prop_assert!(all.iter().all(|s| s.first < gatekeepers && (1..=gatekeepers).contains(&s.spread)));
            let mut ids: Vec<&String> = all.iter().map(|s| &s.id).collect();
            ids.sort();
            ids.dedup();
            prop_assert_eq!(ids.len(), all.len());
        }

        #[test]
        fn an_overload_is_the_same_for_every_shop(rate in 50.0f64..20_000.0, times in 0.1f64..50.0) {
            let plans = example_plans();
            let all = shops(rate, LoadProfile::Overload(times), &plans, 3, 2).expect("shops");
            let of = |s: &Shop| s.demand / plans[s.plan].rate;
            let first = of(&all[0]);
            prop_assert!(all.iter().all(|s| (of(s) / first - 1.0).abs() < 1e-9));
            // Few shops can't have just any demand together.
            prop_assert!(all.len() < 30 || (first / times - 1.0).abs() < 0.35, "{first} for {times}, {}", all.len());
        }

        #[test]
        fn a_client_comes_when_it_is_told_and_never_past_its_patience(
            tries in 1u32..9, told in proptest::option::of(0u64..5000), left in 0.0f64..3000.0, lot in 0.0f64..1.0,
        ) {
            match retry_delay_ms(tries, told, left, lot) {
                Some(pause) => {
                    prop_assert!(tries < MAX_TRIES && pause < left);
                    prop_assert!(told.is_none_or(|ms| pause == ms as f64));
                }
                None => prop_assert!(tries >= MAX_TRIES || told.is_none_or(|ms| ms as f64 >= left)),
            }
        }
    }

    #[test]
    fn a_seed_gives_one_schedule_at_its_rate() {
        let all = shops(500.0, LoadProfile::WithinQuota, &example_plans(), 3, 2).expect("shops");
        let play =
            |seed| Schedule::new(&all, GRPC_FRACTION, seed).expect("sound").take(20_000).collect::<Vec<_>>();
        let one = play(7);
        assert_eq!(one, play(7));
        assert_ne!(one, play(8));
        let rate = one.len() as f64 / one[one.len() - 1].at;
        assert!((450.0..550.0).contains(&rate), "{rate}");
        let checks = one.iter().filter(|a| a.kind == RequestKind::Check).count() as f64 / one.len() as f64;
        assert!((checks - GRPC_FRACTION).abs() < 0.02, "{checks}");
        assert!(one.is_sorted_by(|a, b| a.at <= b.at));
    }
}
