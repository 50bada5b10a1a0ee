//! The population of shops: their plans, their sets of gatekeepers, and the choice of the shop for each
//! request. The k-th shop sends 1 / k^S as many requests as the first (a Zipf distribution).

use crate::scenario::{Load, Scenario};
use frostvale::{Name, quota_owner_of};
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;

/// Interval in ms at which a shop's preferred gatekeeper changes.
const PREFERENCE_INTERVAL_MS: f64 = 15_000.0;

/// The properties of a shop that a request needs.
#[derive(Debug, Clone)]
pub(crate) struct Shop {
    /// Index of the shop; shops with a single request have indices above all others.
    pub number: u64,
    pub name: Name,
    /// Index of its plan.
    pub plan: usize,
    /// First gatekeeper of its set.
    pub first: u32,
    /// Number of gatekeepers in its set.
    pub spread: u32,
}

/// All shops of a run.
pub(crate) struct ShopPopulation {
    load: Load,
    gatekeepers: u32,
    spread: [u32; 2],
    zipf: Option<Zipf<f64>>,
    names: Vec<Option<Name>>,
    /// The plans as pairs of the last rank and the index of the plan, in ascending order of rank.
    plans: Vec<(u32, usize)>,
    /// Number of shops with a single request so far.
    singles: u64,
    seed: u64,
}

/// Hash of a seed and a number (the finalizer of SplitMix64).
fn hash(seed: u64, x: u64) -> u64 {
    let mut z = seed ^ x.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl ShopPopulation {
    pub fn new(scenario: &Scenario, seed: u64) -> ShopPopulation {
        let load = scenario.load.clone();
        let mut order: Vec<usize> = (0..scenario.plans.len()).collect();
        let rate = |k: &usize| {
            let rate = scenario.plans[*k].rate;
            if rate > 0.0 { rate } else { f64::INFINITY }
        };
        order.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        let all: f64 = scenario.plans.iter().map(|p| p.share).sum();
        let mut upto = 0.0;
        let plans = order
            .into_iter()
            .map(|k| {
                upto += scenario.plans[k].share / all;
                ((upto * f64::from(load.shops)).round() as u32, k)
            })
            .collect();
        ShopPopulation {
            zipf: Zipf::new(f64::from(load.shops), load.zipf).ok(),
            names: vec![None; load.shops as usize + 1],
            gatekeepers: scenario.gatekeepers.count,
            spread: scenario.gatekeepers.spread,
            singles: 0,
            plans,
            load,
            seed,
        }
    }

    /// Number of shops that send requests repeatedly, with the additional shop.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// Chooses the shop of the next request.
    pub fn sample(&mut self, rng: &mut Pcg64Mcg) -> Shop {
        let draw = rng.random::<f64>();
        if draw < self.load.once {
            self.singles += 1;
            return self.shop(self.names.len() as u64 + self.singles);
        }
        if draw > 1.0 - self.load.top {
            return self.busiest();
        }
        let rank = self.zipf.as_ref().map_or(1.0, |z| z.sample(rng));
        self.shop(rank as u64)
    }

    /// The shop with the most requests.
    pub fn busiest(&mut self) -> Shop {
        self.shop(u64::from(self.load.top <= 0.0))
    }

    /// The shop with this index. Ranks begin with 1; 0 is the additional shop of `load.top`.
    fn shop(&mut self, number: u64) -> Shop {
        let known = self.names.get(number as usize).cloned().flatten();
        let name = known.unwrap_or_else(|| {
            let name: Name = format!("{:016x}", hash(self.seed, number) & 0x1_ffff_ffff).as_str().into();
            if let Some(place) = self.names.get_mut(number as usize) {
                *place = Some(name.clone());
            }
            name
        });
        let rank = if number < self.names.len() as u64 { number as u32 } else { u32::MAX };
        let plan = self.plans.iter().find(|(upto, _)| rank <= *upto).or(self.plans.last());
        let bits = hash(self.seed.rotate_left(17), number);
        let [min_spread, max_spread] = self.spread;
        Shop {
            number,
            name,
            plan: plan.map_or(0, |p| p.1),
            first: (bits % u64::from(self.gatekeepers)) as u32,
            spread: min_spread + ((bits >> 32) % u64::from(max_spread - min_spread + 1)) as u32,
        }
    }

    /// Chooses the gatekeeper that the load balancer sends a request to.
    pub fn pick_gatekeeper(&self, shop: &Shop, now: f64, rng: &mut Pcg64Mcg) -> u32 {
        let preferred = hash(shop.number, (now / PREFERENCE_INTERVAL_MS) as u64) % u64::from(shop.spread);
        let which = if rng.random::<f64>() < self.load.uneven {
            preferred as u32
        } else {
            rng.random_range(0..shop.spread)
        };
        (shop.first + which) % self.gatekeepers
    }

    /// The quota owner of the busiest shop.
    pub fn quota_owner_of_busiest(&mut self) -> u32 {
        let shop = self.busiest();
        quota_owner_of(&shop.name, shop.first, shop.spread, self.gatekeepers)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use std::collections::BTreeMap;

    #[test]
    fn request_shares_follow_the_load_and_the_busiest_shops_have_the_largest_plans() {
        let mut scenario = Scenario::default();
        (scenario.load.zipf, scenario.load.top, scenario.load.once) = (1.0, 0.3, 0.1);
        let mut shops = ShopPopulation::new(&scenario, 5);
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut by_number: BTreeMap<u64, u32> = BTreeMap::new();
        for _ in 0..100_000 {
            let shop = shops.sample(&mut rng);
            assert!(shop.first < 3 && (2..=3).contains(&shop.spread));
            *by_number.entry(shop.number).or_default() += 1;
        }
        let part = |n: u64| f64::from(by_number[&n]) / 100_000.0;
        assert!((part(0) - 0.3).abs() < 0.01, "{}", part(0));
        assert!((part(1) / part(2) - 2.0).abs() < 0.2, "{} {}", part(1), part(2));
        let once = by_number.range(201..).map(|(_, n)| *n).sum::<u32>();
        assert!((f64::from(once) / 100_000.0 - 0.1).abs() < 0.01);
        assert!(by_number.range(201..).all(|(_, n)| *n == 1));
        assert_eq!(shops.shop(1).plan, 3, "the plan with the highest rate");
        assert_eq!(shops.shop(200).plan, 0);
    }
}
