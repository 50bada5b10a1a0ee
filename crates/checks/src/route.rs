//! Which gatekeeper decides a check.
//!
//! Only one of the shop's set may. Plans without a ceiling go to the one that keeps the shop's store, where it can be
//! had: it decides at once, with no note to anybody. Each gatekeeper of the set may hold a slice of a ceiling, though, so
//! checks of plans with one go round the set, and use all slices alike.

use std::collections::HashMap;

/// Shops whose sets are remembered, in each of two generations.
pub const MAX_SHOP_SETS: usize = 100_000;

/// The sets of shops, as gatekeepers last saw them.
#[derive(Default)]
pub struct ShopSets {
    young: HashMap<u64, (u32, u32)>,
    old: HashMap<u64, (u32, u32)>,
}

impl ShopSets {
    /// A gatekeeper saw a shop's request with this set. What can't be a set is passed over.
    pub fn record(&mut self, shop: &str, first: u32, spread: u32, gatekeepers: u32) {
        let Ok(shop) = u64::from_str_radix(shop, 16) else { return };
        if first >= gatekeepers || spread == 0 || spread > gatekeepers {
            return;
        }
        if self.young.len() >= MAX_SHOP_SETS && !self.young.contains_key(&shop) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(shop, (first, spread));
    }

    /// The set of a shop, if one was seen.
    #[must_use]
    pub fn get(&self, shop: &str) -> Option<(u32, u32)> {
        let shop = u64::from_str_radix(shop, 16).ok()?;
        self.young.get(&shop).or_else(|| self.old.get(&shop)).copied()
    }

    /// The sets themselves, so many at the most.
    #[must_use]
    pub fn distinct(&self, most: usize) -> std::collections::BTreeSet<(u32, u32)> {
        let mut all = std::collections::BTreeSet::new();
        for set in self.young.values().chain(self.old.values()) {
            if all.len() < most {
                all.insert(*set);
            }
        }
        all
    }

    /// Shops remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The gatekeepers that may decide, in the order in which they are to be tried. `turn` goes up with each check;
/// `usable` says which can be asked.
#[must_use]
pub fn candidates(
    shop: &str,
    (first, spread): (u32, u32),
    gatekeepers: u32,
    ceiling: bool,
    turn: u32,
    usable: impl Fn(u32) -> bool,
) -> Vec<u32> {
    if gatekeepers == 0 {
        return Vec::new();
    }
    let spread = spread.clamp(1, gatekeepers);
    let begin = if ceiling {
        turn % spread
    } else {
        let keeper = frostvale::quota_owner_of(shop, first, spread, gatekeepers);
        (keeper + gatekeepers - first % gatekeepers) % gatekeepers
    };
    (0..spread)
        .map(|k| (first % gatekeepers + (begin + k) % spread) % gatekeepers)
        .filter(|g| usable(*g))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn only_the_set_decides_each_of_it_once(
            shop in 0u64..1 << 33, first in 0u32..20, spread in 0u32..30, gatekeepers in 1u32..20,
            ceiling: bool, turn: u32, dead in 0u32..20,
        ) {
            let first = first % gatekeepers;
            let name = format!("{shop:016x}");
            let order = candidates(&name, (first, spread), gatekeepers, ceiling, turn, |g| g != dead);
            let spread = spread.clamp(1, gatekeepers);
            let mut set: Vec<u32> = (0..spread).map(|k| (first + k) % gatekeepers).filter(|g| *g != dead).collect();
            let mut sorted = order.clone();
            set.sort_unstable();
            sorted.sort_unstable();
            prop_assert_eq!(sorted, set);
        }
    }

    #[test]
    fn a_ceiling_goes_round_the_set_and_other_plans_go_to_the_keeper() {
        let shop = "00000000b4d65521";
        let firsts: Vec<u32> =
            (0..6).map(|turn| candidates(shop, (1, 3), 4, true, turn, |_| true)[0]).collect();
        assert_eq!(firsts, [1, 2, 3, 1, 2, 3]);
        let keeper = frostvale::quota_owner_of(shop, 1, 3, 4);
        assert!((0..6).all(|turn| candidates(shop, (1, 3), 4, false, turn, |_| true)[0] == keeper));
        assert_ne!(candidates(shop, (1, 3), 4, false, 0, |g| g != keeper)[0], keeper);
    }

    #[test]
    fn sets_are_bounded_and_the_latest_stays() {
        let mut sets = ShopSets::default();
        for k in 0..3 * MAX_SHOP_SETS as u64 {
            sets.record(&format!("{k:016x}"), 0, 2, 3);
        }
        assert!(sets.len() <= 2 * MAX_SHOP_SETS);
        sets.record("0000000000000007", 2, 2, 3);
        sets.record("0000000000000007", 3, 2, 3);
        sets.record("0000000000000007", 0, 0, 3);
        assert_eq!(sets.get("0000000000000007"), Some((2, 2)));
    }
}
