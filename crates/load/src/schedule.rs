//! Generates the shops and the schedule of their requests. Performs no I/O and reads no clock: the same seed
//! gives the same schedule.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, weighted::WeightedAliasIndex};

/// Exponent S of the distribution of demand over shops: the k-th shop has 1 / k^S of the first one's demand
/// (Zipf's law).
pub const ZIPF_EXPONENT: f64 = 0.8;
/// Minimum fraction of the demand that fits the quotas under [`LoadProfile::WithinQuota`].
pub const SERVED_FRACTION: f64 = 0.9;
/// Maximum number of shops.
const MAX_SHOPS: usize = 200_000;
/// Default fraction of arrivals that are rate limit calls.
pub const GRPC_FRACTION: f64 = 0.25;
/// Fraction of RESP2 requests that record a mix.
const MIX_FRACTION: f64 = 1.0 / 3.0;

/// The properties of a plan that determine the load.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The plan's name.
    pub name: String,
    /// Quota of one shop, in units per second.
    pub rate: f64,
    /// Relative number of shops with this plan; percent in [`example_plans`].
    pub part: u32,
}

/// Returns four example plans with many small shops and few large ones.
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

/// A shop and its demand.
#[derive(Debug, Clone, PartialEq)]
pub struct Shop {
    /// The shop's id: 16 hex digits.
    pub id: String,
    /// Index of the shop's plan.
    pub plan: usize,
    /// First gatekeeper of the shop's set.
    pub first: u32,
    /// Number of gatekeepers in the set.
    pub spread: u32,
    /// Demand, in requests per second.
    pub demand: f64,
}

/// How the demand relates to the quotas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadProfile {
    /// Enough shops that about nine in ten requests fit their quotas; some shops ask for more than their plan
    /// allows.
    WithinQuota,
    /// Every shop asks for this multiple of its quota, 0.01 to 1000.
    Overload(f64),
}

/// Generates shops whose demand adds up to `rate` requests per second. Their sets have `spread` of the
/// `gatekeepers`.
///
/// # Errors
/// Returns an error that names the argument to change if no such shops exist.
pub fn shops(
    rate: f64,
    profile: LoadProfile,
    plans: &[Plan],
    gatekeepers: u32,
    spread: u32,
) -> Result<Vec<Shop>, String> {
    if plans.is_empty() || plans.iter().any(|p| p.rate <= 0.0 || p.part == 0) {
        return Err("plans: at least one, each with a rate and a part over 0".into());
    }
    match profile {
        LoadProfile::Overload(factor) => {
            if !(0.01..=1000.0).contains(&factor) {
                return Err(format!("overload {factor}: 0.01 to 1000 times the quota"));
            }
            let mean = plans.iter().map(|p| p.rate * f64::from(p.part)).sum::<f64>()
                / plans.iter().map(|p| f64::from(p.part)).sum::<f64>();
            let count = ((rate / (factor * mean)).round() as usize).clamp(plans.len(), MAX_SHOPS);
            let mut all = unloaded_shops(count, plans, gatekeepers, spread);
            let quota: f64 = all.iter().map(|s| plans[s.plan].rate).sum();
            all.iter_mut().for_each(|s| s.demand = rate * plans[s.plan].rate / quota);
            Ok(all)
        }
        LoadProfile::WithinQuota => {
            // The total quota grows with the number of shops; binary search finds the smallest sufficient
            // number.
            let fits = |count: usize| {
                served_fraction(&shops_with_zipf_demand(rate, count, plans, gatekeepers, spread), plans)
                    >= SERVED_FRACTION
            };
            let (mut low, mut high) = (plans.len(), plans.len());
            while !fits(high) {
                if high >= MAX_SHOPS {
                    return Err(format!(
                        "rate {rate}: more than {MAX_SHOPS} shops of these plans would be needed"
                    ));
                }
                (low, high) = (high, (high * 2).min(MAX_SHOPS));
            }
            while high - low > 1 {
                let middle = low.midpoint(high);
                if fits(middle) { high = middle } else { low = middle }
            }
            Ok(shops_with_zipf_demand(rate, high, plans, gatekeepers, spread))
        }
    }
}

/// Generates shops with Zipf-distributed demand.
fn shops_with_zipf_demand(
    rate: f64,
    count: usize,
    plans: &[Plan],
    gatekeepers: u32,
    spread: u32,
) -> Vec<Shop> {
    let mut all = unloaded_shops(count, plans, gatekeepers, spread);
    // The busiest shops have the largest plans, as in practice.
    all.sort_by(|a, b| plans[b.plan].rate.total_cmp(&plans[a.plan].rate));
    let weight = |k: usize| ((k + 1) as f64).powf(-ZIPF_EXPONENT);
    let sum: f64 = (0..count).map(weight).sum();
    all.iter_mut().enumerate().for_each(|(k, s)| s.demand = rate * weight(k) / sum);
    all
}

/// Generates shops without demand, their plans mixed in proportion to `Plan::part`.
fn unloaded_shops(count: usize, plans: &[Plan], gatekeepers: u32, spread: u32) -> Vec<Shop> {
    let parts: u32 = plans.iter().map(|p| p.part).sum();
    let gatekeepers = gatekeepers.max(1);
    let shop = |k: usize| {
        // A step of 37, which has no common factor with the sum of the parts (100 for the example plans),
        // visits all values and so mixes the plans in proportion to their parts.
        let mut left = (k as u32 % parts).wrapping_mul(37) % parts;
        let plan = plans.iter().position(|p| {
            let is_match = left < p.part;
            left = left.saturating_sub(p.part);
            is_match
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

/// Returns the fraction of the demand that fits the shops' quotas.
#[must_use]
pub fn served_fraction(shops: &[Shop], plans: &[Plan]) -> f64 {
    let all: f64 = shops.iter().map(|s| s.demand).sum();
    shops.iter().map(|s| s.demand.min(plans[s.plan].rate)).sum::<f64>() / all
}

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// RESP2 request that reads a formula.
    Read,
    /// RESP2 request that records a mix.
    Mix,
    /// gRPC rate limit call.
    Check,
}

/// The first attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Time when it is due, in seconds from the start.
    pub at: f64,
    /// Index of the shop.
    pub shop: usize,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Position in the shop's set of the gatekeeper that receives it, from 0.
    pub turn: u32,
}

/// An endless iterator over first attempts in order of time, with exponentially distributed intervals.
pub struct Schedule {
    rng: StdRng,
    interval: Exp<f64>,
    shop_choice: WeightedAliasIndex<f64>,
    spreads: Vec<u32>,
    grpc_fraction: f64,
    at: f64,
}

impl Schedule {
    /// Creates the schedule of these shops; `grpc_fraction` of the arrivals are rate limit calls.
    ///
    /// # Errors
    /// Returns an error if the shops have no demand.
    pub fn new(shops: &[Shop], grpc_fraction: f64, seed: u64) -> Result<Schedule, String> {
        let rate: f64 = shops.iter().map(|s| s.demand).sum();
        Ok(Schedule {
            rng: StdRng::seed_from_u64(seed),
            interval: Exp::new(rate).map_err(|e| format!("rate {rate}: {e}"))?,
            shop_choice: WeightedAliasIndex::new(shops.iter().map(|s| s.demand).collect())
                .map_err(|e| format!("shops: {e}"))?,
            spreads: shops.iter().map(|s| s.spread).collect(),
            grpc_fraction,
            at: 0.0,
        })
    }
}

impl Iterator for Schedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.at += self.interval.sample(&mut self.rng);
        let shop = self.shop_choice.sample(&mut self.rng);
        let kind = if self.rng.random_bool(self.grpc_fraction) {
            RequestKind::Check
        } else if self.rng.random_bool(MIX_FRACTION) {
            RequestKind::Mix
        } else {
            RequestKind::Read
        };
        let turn = self.rng.random_range(0..self.spreads[shop]);
        Some(Arrival { at: self.at, shop, kind, turn })
    }
}

/// Maximum number of attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Base delay of a client's exponential backoff before its second attempt, in ms; it doubles before each
/// further one.
const BACKOFF_MS: f64 = 150.0;

/// Returns the delay in ms from a refusal to the client's next attempt: the advised delay, else the client's
/// own backoff with jitter, between half of it and the whole. `random` is uniform in 0 to 1. Returns `None`
/// if the delay exceeds the client's remaining time or the client has made [`MAX_ATTEMPTS`] attempts.
pub fn retry_delay_ms(attempts: u32, advised_ms: Option<u64>, left_ms: f64, random: f64) -> Option<f64> {
    let backoff_ms = BACKOFF_MS * f64::from(1u32 << attempts.min(16)) / 2.0;
    let delay = advised_ms.map_or(backoff_ms * (0.5 + random / 2.0), |ms| ms as f64);
    (attempts < MAX_ATTEMPTS && delay < left_ms).then_some(delay)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(24))]

        #[test]
        fn shops_fit_quotas_at_any_rate(rate in 1.0f64..20_000.0, gatekeepers in 1u32..100, spread in 1u32..5) {
            let plans = example_plans();
            let all = shops(rate, LoadProfile::WithinQuota, &plans, gatekeepers, spread).expect("shops");
            let sum: f64 = all.iter().map(|s| s.demand).sum();
            prop_assert!((sum / rate - 1.0).abs() < 1e-6, "{sum}");
            let fraction = served_fraction(&all, &plans);
            prop_assert!(fraction >= SERVED_FRACTION && (fraction < 0.97 || all.len() <= 8), "{fraction} with {} shops", all.len());
            prop_assert!(all.iter().all(|s| s.first < gatekeepers && (1..=gatekeepers).contains(&s.spread)));
            let mut ids: Vec<&String> = all.iter().map(|s| &s.id).collect();
            ids.sort();
            ids.dedup();
            prop_assert_eq!(ids.len(), all.len());
        }

        #[test]
        fn overload_factor_is_equal_for_every_shop(rate in 50.0f64..20_000.0, factor in 0.1f64..50.0) {
            let plans = example_plans();
            let all = shops(rate, LoadProfile::Overload(factor), &plans, 3, 2).expect("shops");
            let factor_of = |s: &Shop| s.demand / plans[s.plan].rate;
            let first = factor_of(&all[0]);
            prop_assert!(all.iter().all(|s| (factor_of(s) / first - 1.0).abs() < 1e-9));
            // With few shops, rounding their number prevents an exact factor.
            prop_assert!(all.len() < 30 || (first / factor - 1.0).abs() < 0.35, "{first} for {factor}, {}", all.len());
        }

        #[test]
        fn retry_delay_is_the_advised_one_and_within_the_remaining_time(
            attempts in 1u32..9, advised in proptest::option::of(0u64..5000), left in 0.0f64..3000.0,
            random in 0.0f64..1.0,
        ) {
            match retry_delay_ms(attempts, advised, left, random) {
                Some(delay) => {
                    prop_assert!(attempts < MAX_ATTEMPTS && delay < left);
                    prop_assert!(advised.is_none_or(|ms| delay == ms as f64));
                }
                None => prop_assert!(attempts >= MAX_ATTEMPTS || advised.is_none_or(|ms| ms as f64 >= left)),
            }
        }
    }

    #[test]
    fn schedule_is_determined_by_its_seed_and_keeps_the_rate() {
        let all = shops(500.0, LoadProfile::WithinQuota, &example_plans(), 3, 2).expect("shops");
        let arrivals = |seed| {
            Schedule::new(&all, GRPC_FRACTION, seed).expect("valid shops").take(20_000).collect::<Vec<_>>()
        };
        let one = arrivals(7);
        assert_eq!(one, arrivals(7));
        assert_ne!(one, arrivals(8));
        let rate = one.len() as f64 / one[one.len() - 1].at;
        assert!((450.0..550.0).contains(&rate), "{rate}");
        let checks = one.iter().filter(|a| a.kind == RequestKind::Check).count() as f64 / one.len() as f64;
        assert!((checks - GRPC_FRACTION).abs() < 0.02, "{checks}");
        assert!(one.is_sorted_by(|a, b| a.at <= b.at));
    }
}
