//! Selects the gatekeepers that may decide a check.
//!
//! Only gatekeepers of the shop's set may decide it. A check of a plan without a ceiling goes to the shop's
//! quota owner if that is available, because the owner decides at once and without a peer message. Each
//! gatekeeper of the set may hold a local share of a ceiling, so checks of plans with a ceiling are
//! distributed round-robin over the set, which uses all shares evenly.

use std::collections::HashMap;

/// Maximum number of shops in each of the two generations of [`ShopSets`].
pub const MAX_SHOP_SETS: usize = 100_000;

/// The sets of shops as last reported by gatekeepers.
///
/// Memory is bounded by two generations: when the young one is full, it replaces the old one.
#[derive(Default)]
pub struct ShopSets {
    young: HashMap<u64, (u32, u32)>,
    old: HashMap<u64, (u32, u32)>,
}

impl ShopSets {
    /// Records the set that a gatekeeper received with a shop's request. Ignores an invalid shop id or set.
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

    /// Returns the last recorded set of a shop (`first`, `spread`).
    #[must_use]
    pub fn get(&self, shop: &str) -> Option<(u32, u32)> {
        let shop = u64::from_str_radix(shop, 16).ok()?;
        self.young.get(&shop).or_else(|| self.old.get(&shop)).copied()
    }

    /// Returns the distinct sets, at most `limit` of them.
    #[must_use]
    pub fn distinct(&self, limit: usize) -> std::collections::BTreeSet<(u32, u32)> {
        let mut all = std::collections::BTreeSet::new();
        for set in self.young.values().chain(self.old.values()) {
            if all.len() < limit {
                all.insert(*set);
            }
        }
        all
    }

    /// Number of recorded shops; one that is in both generations counts twice.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no shop is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns the gatekeepers that may decide a check, in the order in which to try them.
///
/// `ceiling` is whether the plan has a ceiling. `turn` increases with each check and advances the round-robin
/// order. `usable` returns whether a gatekeeper can be reached.
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
    let start = if ceiling {
        turn % spread
    } else {
        let owner = frostvale::quota_owner_of(shop, first, spread, gatekeepers);
        (owner + gatekeepers - first % gatekeepers) % gatekeepers
    };
    (0..spread)
        .map(|k| (first % gatekeepers + (start + k) % spread) % gatekeepers)
        .filter(|g| usable(*g))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn candidates_are_the_usable_gatekeepers_of_the_set_once_each(
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
    fn candidates_rotate_for_a_ceiling_and_start_at_the_quota_owner_otherwise() {
        let shop = "00000000b4d65521";
        let firsts: Vec<u32> =
            (0..6).map(|turn| candidates(shop, (1, 3), 4, true, turn, |_| true)[0]).collect();
        assert_eq!(firsts, [1, 2, 3, 1, 2, 3]);
        let owner = frostvale::quota_owner_of(shop, 1, 3, 4);
        assert!((0..6).all(|turn| candidates(shop, (1, 3), 4, false, turn, |_| true)[0] == owner));
        assert_ne!(candidates(shop, (1, 3), 4, false, 0, |g| g != owner)[0], owner);
    }

    #[test]
    fn shop_sets_are_bounded_and_keep_the_latest_valid_set() {
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
