//! All SQL statements, in the subset of SQL that PostgreSQL and SQLite share. Casts (`$1::BIGINT`) tell
//! PostgreSQL the types of parameters; SQLite gets the same text without them. Schema versions only increase:
//! a migration that exists is never changed.

/// The migrations: entry N holds the statements that take the schema from version N to N + 1.
pub const MIGRATIONS: &[&[&str]] = &[
    &[
        "CREATE TABLE head (id BIGINT PRIMARY KEY, revision BIGINT NOT NULL)",
        "INSERT INTO head (id, revision) VALUES (1, 0)",
        "CREATE TABLE plans (name TEXT PRIMARY KEY, rate_milli BIGINT NOT NULL, burst_milli BIGINT NOT NULL, \
         open BIGINT NOT NULL, ceiling_rate_milli BIGINT NOT NULL, ceiling_burst_milli BIGINT NOT NULL, \
         ceiling_slack_milli BIGINT NOT NULL, from_ms BIGINT NOT NULL, revision BIGINT NOT NULL, \
         set_by TEXT NOT NULL, set_ms BIGINT NOT NULL, why TEXT NOT NULL, change TEXT NOT NULL)",
        "CREATE TABLE shops (shop TEXT PRIMARY KEY, plan TEXT NOT NULL, first_of_set BIGINT NOT NULL, \
         spread BIGINT NOT NULL, revision BIGINT NOT NULL, set_by TEXT NOT NULL, set_ms BIGINT NOT NULL, \
         why TEXT NOT NULL, change TEXT NOT NULL)",
        "CREATE TABLE overrides (kind TEXT NOT NULL, subject TEXT NOT NULL, value TEXT NOT NULL, \
         until_ms BIGINT NOT NULL, revision BIGINT NOT NULL, set_by TEXT NOT NULL, set_ms BIGINT NOT NULL, \
         why TEXT NOT NULL, change TEXT NOT NULL, PRIMARY KEY (kind, subject))",
        "CREATE TABLE instances (name TEXT PRIMARY KEY, host TEXT NOT NULL, epoch_ms BIGINT NOT NULL, \
         seen_ms BIGINT NOT NULL, revision BIGINT NOT NULL)",
        "CREATE TABLE batches (instance TEXT NOT NULL, epoch_ms BIGINT NOT NULL, seq BIGINT NOT NULL, \
         from_ms BIGINT NOT NULL, to_ms BIGINT NOT NULL, is_last BIGINT NOT NULL, landed_ms BIGINT NOT NULL, \
         PRIMARY KEY (instance, epoch_ms, seq))",
        "CREATE TABLE ledger (instance TEXT NOT NULL, epoch_ms BIGINT NOT NULL, seq BIGINT NOT NULL, \
         shop TEXT NOT NULL, plan TEXT NOT NULL, class TEXT NOT NULL, passed_milli BIGINT NOT NULL, \
         refused_milli BIGINT NOT NULL, served_milli BIGINT NOT NULL, \
         PRIMARY KEY (instance, epoch_ms, seq, shop, plan, class))",
        "CREATE TABLE totals (shop TEXT NOT NULL, plan TEXT NOT NULL, class TEXT NOT NULL, hour_ms BIGINT NOT NULL, \
         passed_milli BIGINT NOT NULL, refused_milli BIGINT NOT NULL, served_milli BIGINT NOT NULL, \
         PRIMARY KEY (shop, hour_ms, plan, class))",
        "CREATE TABLE gaps (instance TEXT NOT NULL, epoch_ms BIGINT NOT NULL, after_seq BIGINT NOT NULL, \
         from_ms BIGINT NOT NULL, to_ms BIGINT NOT NULL, why TEXT NOT NULL, PRIMARY KEY (instance, epoch_ms))",
        "CREATE TABLE levels (instance TEXT NOT NULL, shop_key BIGINT NOT NULL, plan BIGINT NOT NULL, \
         store_milli BIGINT NOT NULL, ceiling_milli BIGINT NOT NULL, at_ms BIGINT NOT NULL, \
         PRIMARY KEY (instance, shop_key))",
        "CREATE TABLE audit (revision BIGINT PRIMARY KEY, at_ms BIGINT NOT NULL, set_by TEXT NOT NULL, \
         source TEXT NOT NULL, what TEXT NOT NULL, subject TEXT NOT NULL, was TEXT NOT NULL, now_is TEXT NOT NULL, \
         why TEXT NOT NULL)",
    ],
    &["CREATE INDEX totals_by_hour ON totals (hour_ms)"],
    // Tables for work on behalf of the fleet.
    &[
        "CREATE TABLE fences (duty TEXT PRIMARY KEY, epoch BIGINT NOT NULL, owner TEXT NOT NULL, at_ms BIGINT NOT NULL)",
        "ALTER TABLE batches ADD COLUMN rolled BIGINT NOT NULL DEFAULT 0",
        "CREATE INDEX batches_by_roll ON batches (rolled, landed_ms)",
        "CREATE TABLE lives (instance TEXT NOT NULL, epoch_ms BIGINT NOT NULL, purged_seq BIGINT NOT NULL, \
         PRIMARY KEY (instance, epoch_ms))",
        "CREATE TABLE retired (id BIGINT PRIMARY KEY, passed_milli BIGINT NOT NULL)",
        "INSERT INTO retired (id, passed_milli) VALUES (1, 0)",
        "CREATE TABLE days (day_ms BIGINT NOT NULL, shop TEXT NOT NULL, plan TEXT NOT NULL, class TEXT NOT NULL, \
         passed_milli BIGINT NOT NULL, refused_milli BIGINT NOT NULL, served_milli BIGINT NOT NULL, \
         out_passed BIGINT NOT NULL, out_refused BIGINT NOT NULL, out_served BIGINT NOT NULL, \
         PRIMARY KEY (day_ms, shop, plan, class))",
        "CREATE TABLE exports (number BIGINT PRIMARY KEY, row_count BIGINT NOT NULL, made_ms BIGINT NOT NULL, \
         done BIGINT NOT NULL, digest TEXT NOT NULL, epoch BIGINT NOT NULL)",
        "CREATE TABLE export_rows (number BIGINT NOT NULL, day_ms BIGINT NOT NULL, shop TEXT NOT NULL, \
         plan TEXT NOT NULL, class TEXT NOT NULL, passed_milli BIGINT NOT NULL, refused_milli BIGINT NOT NULL, \
         served_milli BIGINT NOT NULL, PRIMARY KEY (number, day_ms, shop, plan, class))",
        "CREATE TABLE published (name TEXT PRIMARY KEY, revision BIGINT NOT NULL, epoch BIGINT NOT NULL, \
         at_ms BIGINT NOT NULL)",
    ],
    // The history of the fleet, and the revision of the plans under which use was decided.
    &[
        "ALTER TABLE batches ADD COLUMN revision BIGINT NOT NULL DEFAULT 0",
        "CREATE TABLE history (number BIGINT PRIMARY KEY, at_ms BIGINT NOT NULL, epoch BIGINT NOT NULL, \
         instance TEXT NOT NULL, life BIGINT NOT NULL, kind TEXT NOT NULL, was TEXT NOT NULL, now_is TEXT NOT NULL, \
         within_ms BIGINT NOT NULL, told_ms BIGINT NOT NULL, prev TEXT NOT NULL, hash TEXT NOT NULL)",
        "CREATE TABLE history_base (id BIGINT PRIMARY KEY, number BIGINT NOT NULL, hash TEXT NOT NULL)",
        "INSERT INTO history_base (id, number, hash) VALUES (1, 0, '')",
    ],
];

/// The newest schema version.
pub const VERSION: i64 = MIGRATIONS.len() as i64;

/// Creates the table that holds the schema version.
pub const VERSION_TABLE: &str =
    "CREATE TABLE IF NOT EXISTS schema_version (id BIGINT PRIMARY KEY, version BIGINT NOT NULL)";
/// Sets version 0 in a new database.
pub const VERSION_FIRST: &str =
    "INSERT INTO schema_version (id, version) VALUES (1, 0) ON CONFLICT (id) DO NOTHING";
/// Reads the schema version.
pub const VERSION_GET: &str = "SELECT version FROM schema_version WHERE id = 1";
/// Sets the schema version.
pub const VERSION_SET: &str = "UPDATE schema_version SET version = $1::BIGINT WHERE id = 1";

macro_rules! statements {
    ($($(#[$doc:meta])* $name:ident = $text:expr;)*) => {
        $($(#[$doc])* pub const $name: &str = $text;)*
        /// All statements of this list, for the check of their grammar.
        pub const ALL: &[&str] = &[$($name),*];
    };
}

statements! {
    /// Reads the newest revision.
    HEAD = "SELECT revision FROM head WHERE id = 1";
    /// Allocates the next revision.
    HEAD_NEXT = "UPDATE head SET revision = revision + 1 WHERE id = 1 RETURNING revision";
    /// Reads all plans.
    PLANS = "SELECT name, rate_milli, burst_milli, open, ceiling_rate_milli, ceiling_burst_milli, \
        ceiling_slack_milli, from_ms, revision, set_by, set_ms, why, change FROM plans ORDER BY name";
    /// Reads one plan.
    PLAN = "SELECT name, rate_milli, burst_milli, open, ceiling_rate_milli, ceiling_burst_milli, \
        ceiling_slack_milli, from_ms, revision, set_by, set_ms, why, change FROM plans WHERE name = $1::TEXT";
    /// Inserts a plan.
    PLAN_NEW = "INSERT INTO plans (name, rate_milli, burst_milli, open, ceiling_rate_milli, ceiling_burst_milli, \
        ceiling_slack_milli, from_ms, revision, set_by, set_ms, why, change) VALUES ($1::TEXT, $2::BIGINT, \
        $3::BIGINT, $4::BIGINT, $5::BIGINT, $6::BIGINT, $7::BIGINT, $8::BIGINT, $9::BIGINT, $10::TEXT, \
        $11::BIGINT, $12::TEXT, $13::TEXT) ON CONFLICT (name) DO NOTHING";
    /// Changes a plan, provided that it still has the revision `$14`.
    PLAN_SET = "UPDATE plans SET rate_milli = $2::BIGINT, burst_milli = $3::BIGINT, open = $4::BIGINT, \
        ceiling_rate_milli = $5::BIGINT, ceiling_burst_milli = $6::BIGINT, ceiling_slack_milli = $7::BIGINT, \
        from_ms = $8::BIGINT, revision = $9::BIGINT, set_by = $10::TEXT, set_ms = $11::BIGINT, why = $12::TEXT, \
        change = $13::TEXT WHERE name = $1::TEXT AND revision = $14::BIGINT";
    /// Reads one shop.
    SHOP = "SELECT shop, plan, first_of_set, spread, revision, set_by, set_ms, why, change FROM shops \
        WHERE shop = $1::TEXT";
    /// Inserts a shop.
    SHOP_NEW = "INSERT INTO shops (shop, plan, first_of_set, spread, revision, set_by, set_ms, why, change) \
        VALUES ($1::TEXT, $2::TEXT, $3::BIGINT, $4::BIGINT, $5::BIGINT, $6::TEXT, $7::BIGINT, $8::TEXT, $9::TEXT) \
        ON CONFLICT (shop) DO NOTHING";
    /// Changes a shop, provided that it still has the revision `$10`.
    SHOP_SET = "UPDATE shops SET plan = $2::TEXT, first_of_set = $3::BIGINT, spread = $4::BIGINT, \
        revision = $5::BIGINT, set_by = $6::TEXT, set_ms = $7::BIGINT, why = $8::TEXT, change = $9::TEXT \
        WHERE shop = $1::TEXT AND revision = $10::BIGINT";
    /// Reads all overrides.
    OVERRIDES = "SELECT kind, subject, value, until_ms, revision, set_by, set_ms, why, change FROM overrides \
        ORDER BY kind, subject";
    /// Reads one override.
    OVERRIDE = "SELECT kind, subject, value, until_ms, revision, set_by, set_ms, why, change FROM overrides \
        WHERE kind = $1::TEXT AND subject = $2::TEXT";
    /// Inserts an override.
    OVERRIDE_NEW = "INSERT INTO overrides (kind, subject, value, until_ms, revision, set_by, set_ms, why, change) \
        VALUES ($1::TEXT, $2::TEXT, $3::TEXT, $4::BIGINT, $5::BIGINT, $6::TEXT, $7::BIGINT, $8::TEXT, $9::TEXT) \
        ON CONFLICT (kind, subject) DO NOTHING";
    /// Changes an override, provided that it still has the revision `$10`.
    OVERRIDE_SET = "UPDATE overrides SET value = $3::TEXT, until_ms = $4::BIGINT, revision = $5::BIGINT, \
        set_by = $6::TEXT, set_ms = $7::BIGINT, why = $8::TEXT, change = $9::TEXT \
        WHERE kind = $1::TEXT AND subject = $2::TEXT AND revision = $10::BIGINT";
    /// Inserts an entry of the audit trail.
    AUDIT_NEW = "INSERT INTO audit (revision, at_ms, set_by, source, what, subject, was, now_is, why) VALUES \
        ($1::BIGINT, $2::BIGINT, $3::TEXT, $4::TEXT, $5::TEXT, $6::TEXT, $7::TEXT, $8::TEXT, $9::TEXT)";
    /// Reads the newest entries of the audit trail.
    AUDIT = "SELECT revision, at_ms, set_by, source, what, subject, was, now_is, why FROM audit \
        ORDER BY revision DESC LIMIT $1::BIGINT";
    /// Records that an instance was observed.
    INSTANCE_SEEN = "INSERT INTO instances (name, host, epoch_ms, seen_ms, revision) VALUES ($1::TEXT, $2::TEXT, \
        $3::BIGINT, $4::BIGINT, $5::BIGINT) ON CONFLICT (name) DO UPDATE SET host = excluded.host, \
        epoch_ms = excluded.epoch_ms, seen_ms = excluded.seen_ms, revision = excluded.revision";
    /// Reads all instances.
    INSTANCES = "SELECT name, host, epoch_ms, seen_ms, revision FROM instances ORDER BY name";
    /// Inserts a batch, unless it is stored already or was stored and deleted since: `lives.purged_seq` is
    /// the newest deleted batch of a life.
    BATCH_NEW = "INSERT INTO batches (instance, epoch_ms, seq, from_ms, to_ms, is_last, landed_ms, revision) SELECT \
        $1::TEXT, $2::BIGINT, $3::BIGINT, $4::BIGINT, $5::BIGINT, $6::BIGINT, $7::BIGINT, $8::BIGINT WHERE NOT EXISTS \
        (SELECT 1 FROM lives WHERE instance = $1::TEXT AND epoch_ms = $2::BIGINT AND purged_seq >= $3::BIGINT) \
        ON CONFLICT (instance, epoch_ms, seq) DO NOTHING";
    /// Inserts a line of a batch.
    LEDGER_NEW = "INSERT INTO ledger (instance, epoch_ms, seq, shop, plan, class, passed_milli, refused_milli, \
        served_milli) VALUES ($1::TEXT, $2::BIGINT, $3::BIGINT, $4::TEXT, $5::TEXT, $6::TEXT, $7::BIGINT, \
        $8::BIGINT, $9::BIGINT)";
    /// Adds a line to the totals by hour.
    TOTAL_ADD = "INSERT INTO totals (shop, plan, class, hour_ms, passed_milli, refused_milli, served_milli) VALUES \
        ($1::TEXT, $2::TEXT, $3::TEXT, $4::BIGINT, $5::BIGINT, $6::BIGINT, $7::BIGINT) \
        ON CONFLICT (shop, hour_ms, plan, class) DO UPDATE SET \
        passed_milli = totals.passed_milli + excluded.passed_milli, \
        refused_milli = totals.refused_milli + excluded.refused_milli, \
        served_milli = totals.served_milli + excluded.served_milli";
    /// Reads use by shop and hour; an empty shop means all shops.
    TOTALS = "SELECT shop, plan, class, hour_ms, passed_milli, refused_milli, served_milli FROM totals \
        WHERE ($1::TEXT = '' OR shop = $1::TEXT) AND hour_ms >= $2::BIGINT AND hour_ms < $3::BIGINT \
        ORDER BY shop, hour_ms, plan, class LIMIT $4::BIGINT";
    /// Reads the newest batch of a life, the end of its period and whether it was the final report.
    WATERMARK = "SELECT seq, to_ms, is_last FROM batches WHERE instance = $1::TEXT AND epoch_ms = $2::BIGINT \
        ORDER BY seq DESC LIMIT 1";
    /// Counts the stored batches of a life.
    BATCHES = "SELECT COUNT(*) AS n FROM batches WHERE instance = $1::TEXT AND epoch_ms = $2::BIGINT";
    /// Inserts a gap, or replaces the one of the same life.
    GAP_NEW = "INSERT INTO gaps (instance, epoch_ms, after_seq, from_ms, to_ms, why) VALUES ($1::TEXT, $2::BIGINT, \
        $3::BIGINT, $4::BIGINT, $5::BIGINT, $6::TEXT) ON CONFLICT (instance, epoch_ms) DO UPDATE SET \
        after_seq = excluded.after_seq, from_ms = excluded.from_ms, to_ms = excluded.to_ms, why = excluded.why";
    /// Reads all gaps.
    GAPS = "SELECT instance, epoch_ms, after_seq, from_ms, to_ms, why FROM gaps ORDER BY from_ms, instance";
    /// Stores the token levels of a shop, unless newer ones are stored.
    LEVEL_SET = "INSERT INTO levels (instance, shop_key, plan, store_milli, ceiling_milli, at_ms) VALUES ($1::TEXT, \
        $2::BIGINT, $3::BIGINT, $4::BIGINT, $5::BIGINT, $6::BIGINT) ON CONFLICT (instance, shop_key) DO UPDATE SET \
        plan = excluded.plan, store_milli = excluded.store_milli, ceiling_milli = excluded.ceiling_milli, \
        at_ms = excluded.at_ms WHERE excluded.at_ms >= levels.at_ms";
    /// Reads the token levels of an instance.
    LEVELS = "SELECT shop_key, plan, store_milli, ceiling_milli, at_ms FROM levels WHERE instance = $1::TEXT \
        AND at_ms >= $2::BIGINT";
    /// Deletes old token levels: buckets that have had the time to refill need no restore.
    LEVELS_OLD = "DELETE FROM levels WHERE at_ms < $1::BIGINT";
    /// Records an epoch and its owner, unless a higher epoch is recorded or the same epoch with another
    /// owner: an epoch has one owner only.
    FENCE = "INSERT INTO fences (duty, epoch, owner, at_ms) VALUES ($1::TEXT, $2::BIGINT, $3::TEXT, $4::BIGINT) \
        ON CONFLICT (duty) DO UPDATE SET epoch = excluded.epoch, owner = excluded.owner, at_ms = excluded.at_ms \
        WHERE excluded.epoch > fences.epoch OR (excluded.epoch = fences.epoch AND excluded.owner = fences.owner)";
    /// Reads the highest epoch of a duty and its owner.
    FENCE_OF = "SELECT epoch, owner FROM fences WHERE duty = $1::TEXT";
    /// Reads the fences of all duties.
    FENCES = "SELECT duty, epoch, owner, at_ms FROM fences ORDER BY duty";
    /// Computes the number of the next round of rolling up.
    ROLL_NEXT = "SELECT CAST(COALESCE(MAX(rolled), 0) + 1 AS BIGINT) AS n FROM batches";
    /// Marks batches that are not rolled up yet with the number of this round, the oldest first.
    ROLL_MARK = "UPDATE batches SET rolled = $1::BIGINT WHERE (instance, epoch_ms, seq) IN (SELECT instance, \
        epoch_ms, seq FROM batches WHERE rolled = 0 ORDER BY landed_ms, instance, epoch_ms, seq LIMIT $2::BIGINT)";
    /// Adds the lines of this round's batches to the totals by day.
    ROLL_ADD = "INSERT INTO days (day_ms, shop, plan, class, passed_milli, refused_milli, served_milli, out_passed, \
        out_refused, out_served) SELECT b.to_ms / 86400000 * 86400000, l.shop, l.plan, l.class, \
        CAST(SUM(l.passed_milli) AS BIGINT), CAST(SUM(l.refused_milli) AS BIGINT), \
        CAST(SUM(l.served_milli) AS BIGINT), 0, 0, 0 FROM batches b JOIN ledger l ON l.instance = b.instance \
        AND l.epoch_ms = b.epoch_ms AND l.seq = b.seq WHERE b.rolled = $1::BIGINT GROUP BY 1, 2, 3, 4 \
        ON CONFLICT (day_ms, shop, plan, class) DO UPDATE SET \
        passed_milli = days.passed_milli + excluded.passed_milli, \
        refused_milli = days.refused_milli + excluded.refused_milli, \
        served_milli = days.served_milli + excluded.served_milli";
    /// Reads use by day, and how much of it is exported.
    DAYS = "SELECT day_ms, shop, plan, class, passed_milli, refused_milli, served_milli, out_passed FROM days \
        ORDER BY day_ms, shop, plan, class LIMIT $1::BIGINT";
    /// Deletes the gap of a life whose final usage report was stored after all.
    GAP_NONE = "DELETE FROM gaps WHERE EXISTS (SELECT 1 FROM batches b WHERE b.instance = gaps.instance AND \
        b.epoch_ms = gaps.epoch_ms AND b.is_last = 1)";
    /// Inserts gaps for former lives without a final usage report.
    GAP_FORMER = "INSERT INTO gaps (instance, epoch_ms, after_seq, from_ms, to_ms, why) SELECT b.instance, \
        b.epoch_ms, MAX(b.seq), MAX(b.to_ms), i.epoch_ms, 'a later life began, and its last word never came' \
        FROM batches b JOIN instances i ON i.name = b.instance WHERE b.epoch_ms < i.epoch_ms \
        GROUP BY b.instance, b.epoch_ms, i.epoch_ms HAVING MAX(b.is_last) = 0 \
        ON CONFLICT (instance, epoch_ms) DO NOTHING";
    /// Inserts a gap for a life without a final usage report, from which nothing is received.
    GAP_SILENT = "INSERT INTO gaps (instance, epoch_ms, after_seq, from_ms, to_ms, why) SELECT i.name, i.epoch_ms, \
        COALESCE((SELECT MAX(b.seq) FROM batches b WHERE b.instance = i.name AND b.epoch_ms = i.epoch_ms), 0), \
        COALESCE((SELECT MAX(b.to_ms) FROM batches b WHERE b.instance = i.name AND b.epoch_ms = i.epoch_ms), \
        i.epoch_ms), $3::BIGINT, 'nothing is heard of it' FROM instances i WHERE i.name = $1::TEXT AND \
        i.epoch_ms = $2::BIGINT AND NOT EXISTS (SELECT 1 FROM batches b WHERE b.instance = i.name AND \
        b.epoch_ms = i.epoch_ms AND b.is_last = 1) ON CONFLICT (instance, epoch_ms) DO NOTHING";
    /// Reads lives that have old batches: the newest deleted batch of each, and its newest stored batch.
    OLD_LIVES = "SELECT b.instance, b.epoch_ms, COALESCE(MAX(v.purged_seq), 0) AS purged, (SELECT MAX(n.seq) FROM \
        batches n WHERE n.instance = b.instance AND n.epoch_ms = b.epoch_ms) AS newest FROM batches b LEFT JOIN \
        lives v ON v.instance = b.instance AND v.epoch_ms = b.epoch_ms WHERE b.rolled > 0 AND \
        b.landed_ms < $1::BIGINT GROUP BY b.instance, b.epoch_ms HAVING COUNT(*) > 1 \
        ORDER BY COUNT(*) DESC, b.instance, b.epoch_ms LIMIT 64";
    /// Reads the numbers of the old batches of a life.
    OLD_SEQS = "SELECT seq FROM batches WHERE instance = $1::TEXT AND epoch_ms = $2::BIGINT AND rolled > 0 AND \
        landed_ms < $3::BIGINT ORDER BY seq LIMIT $4::BIGINT";
    /// Adds the units of ledger lines that are about to be deleted to the sum of deleted units.
    RETIRE = "UPDATE retired SET passed_milli = passed_milli + (SELECT CAST(COALESCE(SUM(l.passed_milli), 0) AS \
        BIGINT) FROM ledger l WHERE l.instance = $1::TEXT AND l.epoch_ms = $2::BIGINT AND l.seq >= $3::BIGINT AND \
        l.seq <= $4::BIGINT) WHERE id = 1";
    /// Deletes ledger lines of a range of batches.
    LEDGER_GONE = "DELETE FROM ledger WHERE instance = $1::TEXT AND epoch_ms = $2::BIGINT AND seq >= $3::BIGINT AND \
        seq <= $4::BIGINT";
    /// Deletes a range of batches.
    BATCHES_GONE = "DELETE FROM batches WHERE instance = $1::TEXT AND epoch_ms = $2::BIGINT AND seq >= $3::BIGINT \
        AND seq <= $4::BIGINT";
    /// Records the newest deleted batch of a life.
    LIFE_PURGED = "INSERT INTO lives (instance, epoch_ms, purged_seq) VALUES ($1::TEXT, $2::BIGINT, $3::BIGINT) \
        ON CONFLICT (instance, epoch_ms) DO UPDATE SET purged_seq = excluded.purged_seq";
    /// Publishes the plans that are due.
    PUBLISH = "INSERT INTO published (name, revision, epoch, at_ms) SELECT name, revision, $1::BIGINT, $2::BIGINT \
        FROM plans WHERE from_ms <= $2::BIGINT ON CONFLICT (name) DO UPDATE SET revision = excluded.revision, \
        epoch = excluded.epoch, at_ms = excluded.at_ms WHERE published.revision <> excluded.revision";
    /// Reads the published plans, with the limits that were set at the published revision.
    PUBLISHED = "SELECT published.name, published.revision, audit.now_is FROM published \
        JOIN audit ON audit.revision = published.revision ORDER BY published.name";
    /// Reads the newest published revision of any plan; 0 while none is published.
    PUBLISHED_NEWEST = "SELECT CAST(COALESCE(MAX(revision), 0) AS BIGINT) AS n FROM published";
    /// Reads the revision that identifies the set of published plans; there is no row before the first
    /// publication.
    PUBLISHED_REVISION = "SELECT revision FROM head WHERE id = 2";
    /// Sets the revision that identifies the set of published plans.
    PUBLISHED_REVISION_SET = "INSERT INTO head (id, revision) VALUES (2, $1::BIGINT) \
        ON CONFLICT (id) DO UPDATE SET revision = excluded.revision";
    /// Reads the number of the oldest part of the export that is prepared and not written out.
    EXPORT_BEGUN = "SELECT number FROM exports WHERE done = 0 ORDER BY number LIMIT 1";
    /// Computes the number of the next part of the export.
    EXPORT_NEXT = "SELECT CAST(COALESCE(MAX(number), 0) + 1 AS BIGINT) AS n FROM exports";
    /// Inserts the rows of a part: the use by day that was added since the previous part.
    EXPORT_TAKE = "INSERT INTO export_rows (number, day_ms, shop, plan, class, passed_milli, refused_milli, \
        served_milli) SELECT $1::BIGINT, day_ms, shop, plan, class, passed_milli - out_passed, \
        refused_milli - out_refused, served_milli - out_served FROM days WHERE day_ms <= $2::BIGINT AND \
        (passed_milli <> out_passed OR refused_milli <> out_refused OR served_milli <> out_served) \
        ORDER BY day_ms, shop, plan, class LIMIT $3::BIGINT";
    /// Marks the use in a part's rows as exported.
    EXPORT_TAKEN = "UPDATE days SET out_passed = out_passed + e.passed_milli, out_refused = out_refused + \
        e.refused_milli, out_served = out_served + e.served_milli FROM export_rows e WHERE e.number = $1::BIGINT AND \
        e.day_ms = days.day_ms AND e.shop = days.shop AND e.plan = days.plan AND e.class = days.class";
    /// Inserts a part of the export.
    EXPORT_NEW = "INSERT INTO exports (number, row_count, made_ms, done, digest, epoch) VALUES ($1::BIGINT, \
        $2::BIGINT, $3::BIGINT, 0, '', 0)";
    /// Reads the rows of a part.
    EXPORT_ROWS = "SELECT day_ms, shop, plan, class, passed_milli, refused_milli, served_milli FROM export_rows \
        WHERE number = $1::BIGINT ORDER BY day_ms, shop, plan, class";
    /// Marks a part as written out.
    EXPORT_DONE = "UPDATE exports SET done = 1, digest = $2::TEXT, epoch = $3::BIGINT WHERE number = $1::BIGINT \
        AND done = 0";
    /// Reads all parts of the export.
    EXPORTS = "SELECT number, row_count, made_ms, done, digest, epoch FROM exports ORDER BY number";
    /// Reads where the history begins: the number and hash of the last row that retention deleted.
    HISTORY_BASE = "SELECT number, hash FROM history_base WHERE id = 1";
    /// Reads the number and hash of the last row of the history.
    HISTORY_HEAD = "SELECT number, hash FROM history ORDER BY number DESC LIMIT 1";
    /// Inserts a row of the history.
    HISTORY_NEW = "INSERT INTO history (number, at_ms, epoch, instance, life, kind, was, now_is, within_ms, told_ms, \
        prev, hash) VALUES ($1::BIGINT, $2::BIGINT, $3::BIGINT, $4::TEXT, $5::BIGINT, $6::TEXT, $7::TEXT, $8::TEXT, \
        $9::BIGINT, $10::BIGINT, $11::TEXT, $12::TEXT)";
    /// Reads rows of the history after a number.
    HISTORY = "SELECT number, at_ms, epoch, instance, life, kind, was, now_is, within_ms, told_ms, prev, hash FROM \
        history WHERE number > $1::BIGINT ORDER BY number LIMIT $2::BIGINT";
    /// Reads the newest row that is older than a time, but never the last row of the history.
    HISTORY_OLD = "SELECT number, hash FROM history WHERE at_ms < $1::BIGINT AND number < (SELECT MAX(number) FROM \
        history) ORDER BY number DESC LIMIT 1";
    /// Advances the beginning of the history.
    HISTORY_BASE_SET = "UPDATE history_base SET number = $1::BIGINT, hash = $2::TEXT WHERE id = 1 AND \
        number < $1::BIGINT";
    /// Deletes the rows of the history up to a number.
    HISTORY_GONE = "DELETE FROM history WHERE number <= $1::BIGINT";
    /// Reads units by the revision of the plans.
    USE_BY_REVISION = "SELECT b.instance, b.epoch_ms, b.revision, CAST(SUM(l.passed_milli) AS BIGINT), \
        CAST(SUM(l.refused_milli) AS BIGINT), MIN(b.from_ms), MAX(b.to_ms) FROM batches b JOIN ledger l ON \
        l.instance = b.instance AND l.epoch_ms = b.epoch_ms AND l.seq = b.seq GROUP BY b.instance, b.epoch_ms, \
        b.revision ORDER BY b.instance, b.epoch_ms, b.revision LIMIT 10000";
    /// Deletes the rows of parts that are written out and old.
    EXPORT_ROWS_OLD = "DELETE FROM export_rows WHERE number IN (SELECT number FROM exports WHERE done = 1 AND \
        made_ms < $1::BIGINT)";
}

/// Sums the units in the ledger and those already deleted from it; the result must equal [`SUM_TOTALS`].
pub const SUM_LEDGER: &str = "SELECT CAST(COALESCE(SUM(passed_milli), 0) + (SELECT passed_milli FROM retired \
    WHERE id = 1) AS BIGINT) AS n FROM ledger";
/// Sums the units in the totals by hour.
pub const SUM_TOTALS: &str = "SELECT CAST(COALESCE(SUM(passed_milli), 0) AS BIGINT) AS n FROM totals";

/// Converts a statement to SQLite's syntax: `?1` instead of `$1`, and no casts.
#[must_use]
pub fn for_sqlite(text: &str) -> String {
    text.replace("::BIGINT", "").replace("::TEXT", "").replace('$', "?")
}
