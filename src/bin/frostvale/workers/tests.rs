use super::*;
use proptest::prelude::*;

/// Workers use the long column names of the settings. With only the short names accepted, every load report
/// was lost.
#[test]
fn load_report_accepts_long_and_short_column_names() {
    let expected =
        LoadReport { in_flight: Some(7.0), cpu_utilization: Some(0.45), requests_per_second: Some(2.5) };
    assert_eq!(parse_load_report(b"outstanding=7,utilization=0.45,throughput=2.5"), Some(expected));
    assert_eq!(parse_load_report(b"inflight=7,util=0.45,qps=2.5"), Some(expected));
    let malformed = parse_load_report(b"utilization=NaN,throughput=-1,outstanding=9e999,x,=,utilization");
    assert_eq!(malformed, None, "a report without a readable value");
}

fn state(port: u16, health: Health, boot_ms: u32) -> EndpointState {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    EndpointState { address, zone: 0, kind: 0, cell: 0, health, size: 1.0, boot_ms: f64::from(boot_ms) }
}

/// Reference implementation of the protocol's rules that scans all workers for each line.
#[derive(Default)]
struct Model(BTreeMap<String, EndpointState>);

impl Model {
    fn apply(&mut self, whole: bool, lines: &[(String, EndpointState)]) {
        if whole {
            self.0.retain(|name, _| lines.iter().any(|(named, _)| named == name));
        }
        let mut newly_placed = Vec::new();
        for (name, line) in lines {
            let before = self.0.get(name).copied();
            if line.health == Health::Gone {
                self.0.remove(name);
                continue;
            }
            let boot_ms = before.map_or(line.boot_ms, |known| known.boot_ms.max(line.boot_ms));
            self.0.insert(name.clone(), EndpointState { boot_ms, ..*line });
            if line.health == Health::Up && before.is_none_or(|known| known.address != line.address) {
                newly_placed.push(name.clone());
            }
        }
        for name in newly_placed.iter().rev() {
            let Some(owner) = self.0.get(name).copied().filter(|s| s.health == Health::Up) else { continue };
            let is_kept =
                |other: &EndpointState| other.address != owner.address || other.boot_ms > owner.boot_ms;
            self.0.retain(|other, state| other == name || is_kept(state));
        }
    }
}

proptest! {
    /// Applying only the changed lines, through the index, has the same result as applying all lines to the
    /// model.
    #[test]
    fn applying_only_changed_lines_matches_applying_all_lines(
        updates in prop::collection::vec(
            (any::<bool>(), prop::collection::vec((0u8..12, 1u16..9, 0u8..8, 0u32..3), 0..12)),
            1..20,
        ),
    ) {
        let (mut workers, mut model) = (Workers::new(8, 1 << 20), Model::default());
        for (whole, lines) in updates {
            let lines: Vec<(String, EndpointState)> = lines
                .into_iter()
                .map(|(name, port, health, boot_ms)| {
                    let health = [Health::Up, Health::Draining, Health::Gone][usize::from(health).saturating_sub(5)];
                    (format!("s-{name}"), state(port, health, boot_ms))
                })
                .collect();
            let named: HashSet<Cow<str>> = lines.iter().map(|(name, _)| Cow::Borrowed(name.as_str())).collect();
            let absent = if whole { workers.absent_from(&named) } else { Vec::new() };
            let mut seen = HashSet::new();
            let changes: Vec<EndpointChange> = lines
                .iter()
                .filter(|(name, state)| !seen.insert(name) || workers.would_change(name, state))
                .map(|(name, state)| EndpointChange { name: name.as_str().into(), state: *state })
                .collect();
            workers.apply(&changes, &absent);
            model.apply(whole, &lines);
            let known: BTreeMap<String, EndpointState> =
                workers.by_name.iter().map(|(name, worker)| (name.to_string(), worker.state)).collect();
            prop_assert_eq!(&known, &model.0);
            let address_entries: usize = workers.by_address.values().map(Vec::len).sum();
            prop_assert_eq!(address_entries, known.len());
            for (name, state) in &known {
                prop_assert!(workers.by_address[&state.address].iter().any(|at| **at == **name));
            }
        }
    }
}
