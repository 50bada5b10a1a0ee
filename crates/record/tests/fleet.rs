//! Work on behalf of the fleet, on both backends: which owners are refused, and that each unit counts once
//! however steps are interrupted.

use frostvale_owner::fence::Owner;
use frostvale_owner::{Action, Command, DutyController, Fence, Settings, State};
use frostvale_record::fleet::DAY_MS;
use frostvale_record::model::{Change, HistoryRow, Plan, UsageBatch, UsageLine};
use frostvale_record::{Backend, Error, FleetWork, Op, RecordLocation, Reply};
use frostvale_standin::postgres::{Login, Postgres};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The fence of the owner with this epoch. Only a lease can produce a fence, so this runs a controller until
/// it has one.
fn fence(duty: &str, agent: &str, epoch: u64) -> Fence {
    let mut state = State::default();
    let mut host = DutyController::new(agent, "a", &[duty.to_string()], Settings::default(), 1, 1);
    state.apply(&Command::Raise { epoch: epoch - 1 });
    for now in 1..100 {
        for action in host.tick(now * 20, &state.clone()) {
            match action {
                Action::Propose(command) => {
                    let outcome = state.apply(&command);
                    host.handle_outcome(now * 20, &command, Some(&outcome));
                }
                Action::Begin(lease) => return lease.fence(now * 20).expect("held"),
                _ => {}
            }
        }
    }
    panic!("never owned: {:?}", Owner { agent: agent.into(), life: 1 })
}

/// Both backends, migrated, with the server and folder that they need.
async fn both(name: &str) -> Vec<(Arc<dyn Backend>, Option<Postgres>, tempfile::TempDir)> {
    let mut all = Vec::new();
    for kind in ["sqlite", "postgres"] {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join(format!("{name}.db"));
        let (location, server) = if kind == "sqlite" {
            (RecordLocation::new(&format!("sqlite:{}", file.display())), None)
        } else {
            let server = Postgres::start(Ipv4Addr::LOCALHOST.into(), &file, "sesame", Login::Scram)
                .await
                .expect("started");
            let password = folder.path().join("password");
            std::fs::write(&password, "sesame").expect("written");
            let url = format!("postgres://agent@{}/frostvale", server.at);
            (RecordLocation { password_file: Some(password), ..RecordLocation::new(&url) }, Some(server))
        };
        let backend = location.open().await.expect("opened");
        backend.migrate().await.expect("migrated");
        all.push((backend, server, folder));
    }
    all
}

/// Runs a step behind a fence.
async fn work(backend: &dyn Backend, fence: &Fence, work: FleetWork, now_ms: i64) -> Result<Reply, Error> {
    backend.run(Op::ForFleet { fence: fence.clone(), work, now_ms }).await
}

fn batch(epoch_ms: i64, seq: i64, day: i64, units: i64, last: bool) -> UsageBatch {
    let line = |shop: &str, units: i64| UsageLine {
        shop: shop.into(),
        plan: "tienda".into(),
        class: "mix-record".into(),
        passed_milli: units * 1000,
        refused_milli: 500,
        served_milli: units * 900,
    };
    let to_ms = day * DAY_MS + seq * 1000;
    let lines = vec![line("00000000b4d65521", units), line("00000000b4d65522", 2 * units)];
    UsageBatch {
        instance: "n1".into(),
        epoch_ms,
        seq,
        from_ms: to_ms - 1000,
        to_ms,
        last,
        revision: 0,
        lines,
    }
}

async fn append(backend: &dyn Backend, batches: Vec<UsageBatch>, now_ms: i64) -> Vec<bool> {
    match backend.run(Op::Append { batches, now_ms }).await {
        Ok(Reply::Stored(new)) => new,
        other => panic!("{other:?}"),
    }
}

async fn days(backend: &dyn Backend) -> (i64, i64) {
    let Ok(Reply::Days(rows)) = backend.run(Op::Days(1000)).await else { panic!("no days") };
    (rows.iter().map(|(r, _)| r.passed_milli).sum(), rows.iter().map(|(_, exported)| exported).sum())
}

#[tokio::test]
async fn former_owner_is_refused_before_it_has_done_anything() {
    for (backend, _server, _folder) in both("fence").await {
        append(&*backend, vec![batch(1, 1, 0, 5, false)], 0).await;
        let (old, new) = (fence("roll-up", "a", 5), fence("roll-up", "b", 6));
        assert_eq!(work(&*backend, &old, FleetWork::Touch, 0).await, Ok(Reply::Affected(0)));
        assert_eq!(work(&*backend, &new, FleetWork::Touch, 0).await, Ok(Reply::Affected(0)));
        let refused = work(&*backend, &old, FleetWork::RollUp { limit: 10 }, 0).await;
        let stands =
            Error::Fenced { duty: "roll-up".into(), epoch: 5, current_epoch: 6, current_owner: "b#1".into() };
        assert_eq!(refused, Err(stands));
        assert_eq!(days(&*backend).await, (0, 0), "nothing was done");
        // Two owners with one epoch: the first one to reach the record has it.
        let twin = fence("roll-up", "c", 6);
        assert!(matches!(work(&*backend, &twin, FleetWork::Touch, 0).await, Err(Error::Fenced { .. })));
        // Epochs of different duties are independent.
        assert!(work(&*backend, &fence("gaps", "a", 2), FleetWork::Touch, 0).await.is_ok());
        assert_eq!(work(&*backend, &new, FleetWork::RollUp { limit: 10 }, 0).await, Ok(Reply::Affected(1)));
        let Ok(Reply::Snapshot(all)) = backend.run(Op::Load).await else { panic!("no snapshot") };
        let stands: Vec<(&str, i64, &str)> =
            all.fences.iter().map(|f| (f.duty.as_str(), f.epoch, f.owner.as_str())).collect();
        assert_eq!(stands, [("gaps", 2, "a#1"), ("roll-up", 6, "b#1")]);
    }
}

#[tokio::test]
async fn each_unit_is_rolled_up_and_exported_once_when_steps_are_repeated() {
    for (backend, _server, _folder) in both("export").await {
        let owner = fence("export", "a", 1);
        let units = |n: i64| 3 * n * 1000;
        append(&*backend, (1..=5).map(|seq| batch(1, seq, 0, seq, false)).collect(), 10).await;
        for batches in [2, 2, 1, 0] {
            let done = work(&*backend, &owner, FleetWork::RollUp { limit: 2 }, 0).await;
            assert_eq!(done, Ok(Reply::Affected(batches)));
        }
        assert_eq!(days(&*backend).await, (units(15), 0));
        // A day that has not ended is not exported.
        let prepare = |before_ms| FleetWork::PrepareExport { before_ms, limit: 1 };
        assert_eq!(work(&*backend, &owner, prepare(DAY_MS - 1), 0).await, Ok(Reply::Export(None)));
        let Ok(Reply::Export(Some(one))) = work(&*backend, &owner, prepare(DAY_MS), 0).await else {
            panic!("no part")
        };
        assert_eq!((one.number, one.rows.len()), (1, 1));
        // The owner dies before the part is written out: the next owner gets the same part.
        append(&*backend, vec![batch(1, 6, 0, 100, false)], 20).await;
        let next_owner = fence("export", "b", 2);
        work(&*backend, &next_owner, FleetWork::RollUp { limit: 10 }, 0).await.expect("rolled up");
        let again = work(&*backend, &next_owner, prepare(DAY_MS), 0).await;
        assert_eq!(again, Ok(Reply::Export(Some(one.clone()))));
        // The former owner resumes: it may neither prepare nor finish a part.
        for step in [prepare(DAY_MS), FleetWork::FinishExport { number: 1, digest: "x".into() }] {
            assert!(matches!(work(&*backend, &owner, step, 0).await, Err(Error::Fenced { .. })));
        }
        let finish = FleetWork::FinishExport { number: 1, digest: "abc".into() };
        assert_eq!(work(&*backend, &next_owner, finish.clone(), 0).await, Ok(Reply::Affected(1)));
        assert_eq!(work(&*backend, &next_owner, finish, 0).await, Ok(Reply::Affected(0)), "once");
        // Use that was added in the meantime is in later parts, as differences; all parts together equal the
        // days.
        let mut exported: i64 = one.rows.iter().map(|r| r.passed_milli).sum();
        let mut number = 1;
        while let Ok(Reply::Export(Some(part))) = work(&*backend, &next_owner, prepare(DAY_MS), 0).await {
            number += 1;
            assert_eq!(part.number, number);
            exported += part.rows.iter().map(|r| r.passed_milli).sum::<i64>();
            let finish = FleetWork::FinishExport { number, digest: "abc".into() };
            work(&*backend, &next_owner, finish, 0).await.expect("finished");
        }
        assert_eq!((exported, number), (units(115), 3));
        assert_eq!(days(&*backend).await, (units(115), units(115)));
        let Ok(Reply::Exports(parts)) = backend.run(Op::Exports).await else { panic!("no parts") };
        assert!(parts.iter().all(|p| p.done && p.epoch == 2 && p.digest == "abc"));
    }
}

#[tokio::test]
async fn deleted_batches_are_not_stored_again_and_the_sums_still_agree() {
    for (backend, _server, _folder) in both("retain").await {
        let owner = fence("retention", "a", 1);
        let all: Vec<UsageBatch> = [1, 2, 3, 5, 6].map(|seq| batch(1, seq, 0, seq, false)).to_vec();
        append(&*backend, all.clone(), 10).await;
        let retain = FleetWork::Retain { before_ms: 100, limit: 100 };
        assert_eq!(
            work(&*backend, &owner, retain.clone(), 0).await,
            Ok(Reply::Affected(0)),
            "not rolled up yet"
        );
        work(&*backend, &owner, FleetWork::RollUp { limit: 100 }, 0).await.expect("rolled up");
        assert_eq!(
            work(&*backend, &owner, retain.clone(), 0).await,
            Ok(Reply::Affected(3)),
            "batch 4 is not stored yet"
        );
        assert_eq!(append(&*backend, all, 20).await, [false; 5], "recognised, whether kept or deleted");
        assert_eq!(append(&*backend, vec![batch(1, 4, 0, 4, false)], 30).await, [true]);
        work(&*backend, &owner, FleetWork::RollUp { limit: 100 }, 0).await.expect("rolled up");
        assert_eq!(
            work(&*backend, &owner, retain, 0).await,
            Ok(Reply::Affected(2)),
            "the newest batch of the life is kept"
        );
        assert_eq!(days(&*backend).await.0, 21 * 3000);
        let mark = Op::Watermark { instance: "n1".into(), epoch_ms: 1 };
        assert_eq!(backend.run(mark).await, Ok(Reply::Watermark(Some((6, 6000, false)), 1)));
        let message = backend.check().await.expect("consistent");
        assert!(message.contains("63000"), "{message}");
    }
}

#[tokio::test]
async fn gaps_are_recorded_without_a_final_report_and_deleted_when_it_arrives() {
    for (backend, _server, _folder) in both("gaps").await {
        let owner = fence("gaps", "a", 1);
        let seen =
            |epoch_ms| Op::Seen { name: "n1".into(), host: "h".into(), epoch_ms, now_ms: 50, revision: 0 };
        let find = |silent: &[(&str, i64)]| FleetWork::FindGaps {
            silent: silent.iter().map(|(n, e)| ((*n).to_string(), *e)).collect(),
        };
        append(&*backend, vec![batch(1, 1, 0, 5, false), batch(2, 1, 0, 5, true)], 0).await;
        backend.run(seen(3)).await.expect("seen");
        assert_eq!(work(&*backend, &owner, find(&[]), 90).await, Ok(Reply::Affected(1)));
        assert_eq!(work(&*backend, &owner, find(&[("n1", 3)]), 90).await, Ok(Reply::Affected(1)));
        assert_eq!(work(&*backend, &owner, find(&[("n1", 3), ("n9", 1)]), 91).await, Ok(Reply::Affected(0)));
        let Ok(Reply::Gaps(gaps)) = backend.run(Op::Gaps).await else { panic!("no gaps") };
        let lives: Vec<(i64, i64)> = gaps.iter().map(|g| (g.epoch_ms, g.after_seq)).collect();
        assert_eq!(lives, [(3, 0), (1, 1)], "the second life was shut down gracefully");
        append(&*backend, vec![batch(1, 2, 0, 1, true)], 95).await;
        work(&*backend, &owner, find(&[]), 96).await.expect("searched");
        let Ok(Reply::Gaps(gaps)) = backend.run(Op::Gaps).await else { panic!("no gaps") };
        assert_eq!(gaps.iter().map(|g| g.epoch_ms).collect::<Vec<_>>(), [3]);
    }
}

#[tokio::test]
async fn plans_take_effect_when_due_and_not_by_a_former_owner() {
    for (backend, _server, _folder) in both("publish").await {
        let plan = |name: &str, from_ms| Plan {
            name: name.into(),
            rate_milli: 1000,
            burst_milli: 2000,
            from_ms,
            ..Plan::default()
        };
        let change = |id: &str, base| Change {
            id: id.into(),
            base,
            by: "ana".into(),
            source: "test".into(),
            why: "a test".into(),
            at_ms: 0,
        };
        backend.run(Op::SetPlan(plan("basico", 0), change("a", 0))).await.expect("set");
        backend.run(Op::SetPlan(plan("tienda", 100), change("b", 0))).await.expect("set");
        let (old, new) = (fence("publish", "a", 1), fence("publish", "b", 2));
        let published = async || match backend.run(Op::Load).await {
            Ok(Reply::Snapshot(all)) => {
                all.published.into_iter().map(|p| (p.plan.name, p.revision)).collect::<Vec<_>>()
            }
            other => panic!("{other:?}"),
        };
        assert_eq!(work(&*backend, &old, FleetWork::Publish, 50).await, Ok(Reply::Affected(1)));
        assert_eq!(published().await, [("basico".to_string(), 1)]);
        assert_eq!(work(&*backend, &new, FleetWork::Publish, 60).await, Ok(Reply::Affected(0)));
        assert!(work(&*backend, &old, FleetWork::Publish, 100).await.is_err());
        assert_eq!(published().await.len(), 1);
        assert_eq!(work(&*backend, &new, FleetWork::Publish, 100).await, Ok(Reply::Affected(1)));
        assert_eq!(published().await, [("basico".to_string(), 1), ("tienda".to_string(), 2)]);
    }
}

#[tokio::test]
async fn revision_of_published_plans_identifies_one_set_of_limits() {
    for (backend, _server, _folder) in both("one set").await {
        let set = async |name: &str, rate_milli, from_ms, base| {
            let plan = Plan { name: name.into(), rate_milli, burst_milli: 2000, from_ms, ..Plan::default() };
            let (by, source, why) = ("ana".into(), "test".into(), "a test".into());
            let change = Change { id: format!("{name} {rate_milli}"), base, by, source, why, at_ms: 0 };
            backend.run(Op::SetPlan(plan, change)).await.expect("set");
        };
        let in_effect = async || match backend.run(Op::Load).await {
            Ok(Reply::Snapshot(all)) => {
                let limits = all.published.into_iter().map(|p| (p.plan.name, p.plan.rate_milli));
                (all.published_revision, limits.collect::<Vec<_>>())
            }
            other => panic!("{other:?}"),
        };
        let owner = fence("publish", "a", 1);
        let publish =
            async |now_ms| work(&*backend, &owner, FleetWork::Publish, now_ms).await.expect("published");
        let limits = |all: &[(&str, i64)]| all.iter().map(|(n, r)| (n.to_string(), *r)).collect::<Vec<_>>();

        set("basico", 1000, 0, 0).await;
        assert_eq!(in_effect().await, (0, vec![]), "set but not published yet");
        publish(10).await;
        assert_eq!(in_effect().await, (1, limits(&[("basico", 1000)])));
        set("basico", 2000, 100, 1).await;
        publish(20).await;
        assert_eq!(in_effect().await, (1, limits(&[("basico", 1000)])), "the former limits apply until then");
        set("tienda", 3000, 0, 0).await;
        publish(30).await;
        assert_eq!(in_effect().await, (3, limits(&[("basico", 1000), ("tienda", 3000)])));
        publish(100).await;
        assert_eq!(in_effect().await, (4, limits(&[("basico", 2000), ("tienda", 3000)])), "another set");
        publish(110).await;
        assert_eq!(in_effect().await.0, 4, "nothing new");
        set("tienda", 4000, 0, 3).await;
        publish(120).await;
        assert_eq!(in_effect().await, (5, limits(&[("basico", 2000), ("tienda", 4000)])));
    }
}

fn history_row(number: i64, at_ms: i64) -> HistoryRow {
    let (instance, kind, now_is) = ("n1".into(), "plans".into(), number.to_string());
    HistoryRow {
        number,
        at_ms,
        epoch: 5,
        instance,
        kind,
        now_is,
        hash: format!("h{number}"),
        ..HistoryRow::default()
    }
}

#[tokio::test]
async fn history_is_appended_only_at_its_end_and_retention_records_where_it_begins() {
    for (backend, _server, _folder) in both("history").await {
        let owner = fence("audit", "a", 5);
        let append = async |after: (i64, &str), rows: Vec<HistoryRow>| {
            let after = (after.0, after.1.to_string());
            work(&*backend, &owner, FleetWork::AppendHistory { after, rows }, 0).await
        };
        let rows = (1..=40).map(|n| history_row(n, 100 * n)).collect();
        assert_eq!(append((0, ""), rows).await, Ok(Reply::Affected(40)));
        // Rows that continue another row, or that leave out a number, are all refused.
        for (after, rows, what) in [
            ((39, "h39"), vec![history_row(40, 1)], "it ends at row 40"),
            ((40, "other"), vec![history_row(41, 1)], "it ends at row 40"),
            ((40, "h40"), vec![history_row(41, 1), history_row(43, 1)], "row 43 where 42 is next"),
        ] {
            let refused = append(after, rows).await.expect_err(what);
            assert!(refused.to_string().contains(what), "{refused}");
        }
        let Ok(Reply::HistoryEnds(base, head)) = backend.run(Op::HistoryEnds).await else {
            panic!("no ends")
        };
        assert_eq!((base, head), ((0, String::new()), (40, "h40".into())));
        assert_eq!(
            work(&*backend, &owner, FleetWork::RetainHistory { before_ms: 1050 }, 0).await,
            Ok(Reply::Affected(10))
        );
        let Ok(Reply::History(rows, base)) = backend.run(Op::History { after: 0, limit: 5 }).await else {
            panic!("none")
        };
        assert_eq!((base, rows.len(), rows[0].clone()), ((10, "h10".into()), 5, history_row(11, 1100)));
        // However old all rows are, the last one is kept: the next row continues it.
        assert_eq!(
            work(&*backend, &owner, FleetWork::RetainHistory { before_ms: 1_000_000 }, 0).await,
            Ok(Reply::Affected(29))
        );
        assert_eq!(append((40, "h40"), vec![history_row(41, 9)]).await, Ok(Reply::Affected(1)));
        let later = fence("audit", "b", 6);
        assert!(work(&*backend, &later, FleetWork::Touch, 0).await.is_ok());
        assert!(matches!(append((41, "h41"), vec![history_row(42, 9)]).await, Err(Error::Fenced { .. })));
    }
}

#[tokio::test]
async fn use_is_summed_by_the_revision_under_which_it_was_decided() {
    for (backend, _server, _folder) in both("revisions").await {
        let of = |seq: i64, revision: i64| UsageBatch { revision, ..batch(1, seq, 0, 5, false) };
        append(&*backend, vec![of(1, 41), of(2, 41), of(3, 42)], 0).await;
        append(&*backend, vec![of(2, 41)], 0).await;
        let Ok(Reply::Revisions(rows)) = backend.run(Op::UseByRevision).await else { panic!("none") };
        let seen: Vec<_> =
            rows.iter().map(|r| (r.revision, r.passed_milli, r.refused_milli, r.from_ms, r.to_ms)).collect();
        assert_eq!(seen, [(41, 30_000, 2000, 0, 2000), (42, 15_000, 1000, 2000, 3000)]);
    }
}
