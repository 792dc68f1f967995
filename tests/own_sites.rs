//! Tests of the deployments described under `deploy/sites/`: the values of the site files reach the dispatcher through
//! the platform's configuration, and requests of each class are handled accordingly. The configurations are generated
//! from the site files and from the platform's vocabulary in `wire.json` beside them, for the low and the high end of
//! all ranges and for each zone.

mod stand_in;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder_router::interface::{DedupGroup, Effect, Micros, Role};
use dewladder_test_peers::Peer;
use serde_json::{json, Value};
use stand_in::{platform, until_close, Agent, Behavior, Server};
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;

/// An address on which nothing listens.
const CLOSED_PORT: &str = "127.0.0.1:9";

/// A deployment, as described by its site file and by the platform's vocabulary in its wire file.
struct Site {
    name: String,
    file: Value,
    wire: Value,
}

/// Selects one configuration of a site: all ranges at their low or their high end, and the index of the dispatcher's
/// zone.
#[derive(Clone, Copy, Debug)]
struct ConfigVariant {
    high: bool,
    zone: usize,
}

/// Reads all sites under `deploy/sites/`, in the order of their file names.
fn sites() -> Vec<Site> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/sites");
    let read = |path: &Path| std::fs::read_to_string(path).unwrap();
    let files = std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> =
        files.filter(|path| path.extension().is_some_and(|e| e == "toml")).collect();
    files.sort();
    assert!(files.len() >= 2, "{files:?}");
    let site = |path: &PathBuf| {
        let file: Value = toml::from_str(&read(path)).unwrap();
        let wire = serde_json::from_str(&read(&folder.join(text(&file["wire"])))).unwrap();
        Site { name: text(&file["name"]).to_owned(), file, wire }
    };
    files.iter().map(site).collect()
}

/// Returns a string value; panics on any other type.
fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_else(|| panic!("{value} is not a string"))
}

/// Returns the items of an array, or an empty slice for any other value.
fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Returns a number, or the low or high end of a range.
fn bound(value: &Value, high: bool) -> f64 {
    let ends: Vec<f64> = match value {
        Value::Array(items) => items.iter().map(|item| item.as_f64().unwrap()).collect(),
        one => vec![one.as_f64().unwrap_or_else(|| panic!("{one} is not a number"))],
    };
    let pick = if high { f64::max } else { f64::min };
    ends.into_iter().reduce(pick).unwrap()
}

fn micros(milliseconds: &Value) -> Micros {
    (milliseconds.as_f64().unwrap() * 1e3).round() as Micros
}

impl Site {
    /// Returns all variants: each zone with the low and the high end of the ranges.
    fn variants(&self) -> Vec<ConfigVariant> {
        let zones = 0..list(&self.file["net"]["zones"]).len();
        zones.flat_map(|zone| [false, true].map(|high| ConfigVariant { high, zone })).collect()
    }

    /// Returns the platform's name for a setting.
    fn platform_name(&self, name: &str) -> String {
        self.wire["init"]["rename"][name].as_str().unwrap_or(name).to_owned()
    }

    /// Returns the platform's name for a duration setting, with the suffix for seconds.
    fn time(&self, name: &str) -> String {
        self.platform_name(name) + text(&self.wire["init"]["unit_suffix"])
    }

    /// Returns the platform's word for a value.
    fn value(&self, name: &Value) -> String {
        self.wire["init"]["words"][text(name)].as_str().unwrap_or(text(name)).to_owned()
    }

    /// Returns the name of a zone.
    fn zone(&self, at: usize) -> &str {
        text(&self.file["net"]["zones"][at])
    }

    /// Returns the first class with this effect, if the site has one.
    fn class(&self, effect: &str) -> Option<&Value> {
        list(&self.file["class"]).iter().find(|class| class["effect"] == effect)
    }

    /// Returns the `settings` object that the platform sends for a variant.
    fn settings(&self, variant: ConfigVariant) -> Value {
        let (key, seconds_key, file) = (|name| self.platform_name(name), |name| self.time(name), &self.file);
        let at = |value: &Value| bound(value, variant.high);
        let seconds = |value: &Value| at(value) / 1e3;
        let (tier, fam, allow) = (&file["tier"][0], &file["fam"], &file["allow"]);
        let (kinds, classes) = (list(&tier["kind"]), list(&file["class"]));
        let of_kinds = |name: &str| kinds.iter().map(|kind| kind[name].clone()).collect::<Vec<_>>();
        let per_class = |name: &str, by: f64| -> Vec<f64> {
            list(&fam["class"]).iter().map(|class| class[name].as_f64().unwrap() * by).collect()
        };
        let memory = list(&fam["engine"]).iter().map(|server| (at(&server["memory_k"]) * 1e3).round() as u64);
        let extreme = |name: &str, pick: fn(f64, f64) -> f64, high: bool| {
            kinds.iter().map(|kind| bound(&kind[name], high)).reduce(pick).unwrap()
        };
        let class_settings = |class: &Value| {
            json!({"name": class["name"], (seconds_key("aim")): seconds(&class["aim_ms"]), (seconds_key("deadline")): seconds(&class["deadline_ms"]),
                (seconds_key("window")): class.get("window_ms").map_or(5.0, &seconds), "effect": self.value(&class["effect"]),
                "group": class.get("group").map_or("all", text), "late_worth": class["late_worth"],
                (key("stream")): class["stream"], "worth": class["worth"]})
        };
        let tenant = |tenant: &Value| json!({"name": tenant["name"], "share": tenant["share"], (key("quota_per_s")): 9.0});
        let mut domain = json!({"aim_us_per_1000_prompt_tokens": per_class("aim_ms_per_k", 1e3), (key("far_price")): fam["far_price"],
            (key("ahead")): fam["ahead"], "kind_memory_tokens": memory.collect::<Vec<_>>(), (key("writers_read")): fam["writers_read"],
            (seconds_key("release")): seconds(&fam["release_ms"]), "resume": fam["resume"], (key("kind_role")): fam["role"],
            (seconds_key("token_aim")): per_class("token_ms", 1e-3)});
        // The configuration has these descriptions with spaces; only the simulator's key-value settings have
        // underscores in their place.
        let descriptions = [
            ("x0", "share of memory that is held"),
            ("x1", "thousands of prompt tokens waiting to be read or fetched"),
        ];
        for (field, description) in descriptions {
            if list(&tier["report"]["fields"]).contains(&json!(field)) {
                domain[format!("report_{field}")] = json!(description);
            }
        }
        json!({"balancers": at(&file["scale"]["balancers"]) as u32, (key("clients")): {"marks_retry": file["clients"]["marks_retry"]},
            "discovery": self.value(&file["discovery"]["mode"]), (key("family_info")): domain, (key("zones")): file["net"]["zones"],
            "family": file["family"], "goal": file["goal"], "kinds": of_kinds("name"),
            (key("classes")): classes.iter().map(class_settings).collect::<Vec<_>>(),
            "limits": {"cancel": allow["cancel"], (seconds_key("connect_timeout")): seconds(&tier["conn"]["connect_timeout_ms"]),
                "cpu_us_per_request": 0.0, "cpu_us_per_s": at(&allow["cpu_ms_per_s"]) * 1e3, (seconds_key("conn_idle")): at(&tier["conn"]["idle_s"]),
                "max_attempts": allow["max_attempts"], "max_open": 20000, (seconds_key("max_retry_after")): seconds(&file["clients"]["max_retry_after_ms"]),
                (key("streams_per_conn")): tier["conn"]["streams"], (key("second_copies")): allow["second_copies"], "peers": allow["peers"],
                "probes": allow["probes"], "retry_after": allow["retry_after"]},
            (key("zone")): variant.zone, (key("me")): 0, (key("tenants")): list(&file["tenant"]).iter().map(tenant).collect::<Vec<_>>(),
            "prices": file["prices"], (seconds_key("tick")): seconds(&file["day"]["tick_ms"]),
            "rules": {"answer_slack_s": 0.008, "cold_from": extreme("cold_from", f64::min, false), "cold_s": extreme("cold_s", f64::max, true),
                "fall_multiple": file["rules"]["fall_multiple"], "fall_s": seconds(&file["rules"]["fall_ms"]),
                (seconds_key("ask_within")): 10.0, (seconds_key("drain_grace")): seconds(&file["rules"]["drain_grace_ms"])},
            (key("tiers")): [tier["name"]], (key("report")): {"fields": tier["report"]["fields"], (key("how")): self.value(&tier["report"]["how"])},
            "tier": 0, "weights": self.value(&tier["weights"]), "worth_by": file["load"]["worth_by"]})
    }

    /// Returns the platform's configuration of a dispatcher with half of the usual resource limits.
    fn config(&self, variant: ConfigVariant, discovery: SocketAddr, known: &Value) -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512}, "known": known, "settings": self.settings(variant)})
    }

    /// Returns a configuration with an empty server list and an agent address on which nothing listens.
    fn config_without_servers(&self, variant: ConfigVariant) -> Value {
        let none = json!({"revision": 1, "complete": true, "members": []});
        self.config(variant, CLOSED_PORT.parse().unwrap(), &none)
    }
}

fn parsed(config: &Value) -> Config {
    Config::parse("config", &config.to_string(), |_| None).unwrap()
}

/// Runs `check-config` on a configuration and returns the exit code and what was written to standard error.
fn check_config(name: &str, config: &Value) -> (Option<i32>, String) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("own-sites");
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
    program.args(["check-config", "--config"]).arg(&path).env_clear().current_dir(&folder);
    let output = program.output().unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

/// The site files have different numbers of classes and cover the cases that they exist for: an at-most-once class
/// that is the most frequent, a deduplicated class whose window is shorter than its deadline, and a deadline near one
/// second. If a site file changes, the tests below would otherwise lose these cases without notice.
#[test]
fn site_files_cover_frequent_at_most_once_short_window_and_short_deadline_classes() {
    let sites = sites();
    let classes = || sites.iter().flat_map(|site| list(&site.file["class"]));
    let frequent = |site: &Site| {
        let share = |class: &&Value| bound(&class["share"], false);
        let most = list(&site.file["class"]).iter().max_by(|a, b| share(a).total_cmp(&share(b)));
        most.is_some_and(|class| class["effect"] == "unsafe")
    };
    assert!(sites.iter().any(frequent), "no site whose most frequent class is at-most-once");
    let has_short_window = |class: &Value| {
        class["effect"] == "keyed" && micros(&class["window_ms"]) < micros(&class["deadline_ms"])
    };
    assert!(classes().any(has_short_window), "no deduplicated class with a window shorter than its deadline");
    assert!(
        classes().any(|class| micros(&class["deadline_ms"]) <= 1_200_000),
        "no class with a deadline near one second"
    );
    let counts: Vec<usize> = sites.iter().map(|site| list(&site.file["class"]).len()).collect();
    assert_ne!(counts[0], counts[1], "the sites have equal numbers of classes");
}

/// Guards against settings that are parsed to other values than the site file has: with a wrong effect, window or limit
/// a request would be sent twice, or rejected although it must not be.
#[test]
fn parsed_settings_match_the_site_files() {
    for site in sites() {
        for variant in site.variants() {
            let (file, at) = (&site.file, format!("{} {variant:?}", site.name));
            let config = parsed(&site.config_without_servers(variant));
            let settings = &config.settings;
            let classes: Vec<_> = settings.current().collect();
            assert_eq!(classes.len(), list(&file["class"]).len(), "{at}");
            for ((class, listed), family_class) in
                classes.iter().zip(list(&file["class"])).zip(list(&file["fam"]["class"]))
            {
                let effect = match text(&listed["effect"]) {
                    "safe" => Effect::Idempotent,
                    "keyed" => Effect::Deduplicated,
                    "unsafe" => Effect::AtMostOnce,
                    other => panic!("{other}"),
                };
                let group = match listed.get("group").map(text) {
                    Some("zone") => DedupGroup::Zone,
                    Some("cell") => DedupGroup::Cell,
                    _ => DedupGroup::All,
                };
                assert_eq!(
                    (class.name.as_str(), class.effect, class.dedup_group),
                    (text(&listed["name"]), effect, group),
                    "{at}"
                );
                assert_eq!(
                    (class.latency_objective, class.default_timeout),
                    (micros(&listed["aim_ms"]), micros(&listed["deadline_ms"])),
                    "{at}"
                );
                if let Some(window) = listed.get("window_ms") {
                    assert_eq!(class.dedup_window, micros(window), "{at}");
                }
                assert_eq!(
                    u64::from(class.max_attempts),
                    file["allow"]["max_attempts"].as_u64().unwrap(),
                    "{at}"
                );
                assert_eq!(class.priority_weight, listed["worth"].as_f64().unwrap(), "{at}");
                assert_eq!(class.token_interval_objective, micros(&family_class["token_ms"]), "{at}");
                assert_eq!(
                    class.latency_objective_per_1000_tokens,
                    micros(&family_class["aim_ms_per_k"]),
                    "{at}"
                );
            }
            let roles: Vec<&str> = list(&file["fam"]["role"]).iter().map(text).collect();
            for (at_kind, kind) in settings.kinds.iter().enumerate() {
                let role = match roles[at_kind] {
                    "read" => Role::Reader,
                    "write" => Role::Writer,
                    _ => Role::Mixed,
                };
                let memory = bound(&file["fam"]["engine"][at_kind]["memory_k"], variant.high) * 1e3;
                assert_eq!((kind.role, kind.memory_tokens), (role, memory.round() as u64), "{at}");
            }
            assert_eq!(settings.kinds.len(), roles.len(), "{at}");
            let (allow, rules, tier) = (&file["allow"], &file["rules"], &file["tier"][0]);
            assert_eq!(settings.zone.0 as usize, variant.zone, "{at}");
            assert_eq!(config.names.zones[variant.zone], site.zone(variant.zone), "{at}");
            assert_eq!(
                f64::from(settings.dispatcher_count),
                bound(&file["scale"]["balancers"], variant.high).floor(),
                "{at}"
            );
            assert_eq!(
                json!([settings.may_cancel, settings.gossip_allowed]),
                json!([allow["cancel"], allow["peers"]]),
                "{at}"
            );
            assert_eq!(settings.gossip_price, file["prices"]["peer"].as_f64().unwrap(), "{at}");
            assert_eq!(settings.must_subscribe, file["discovery"]["mode"] == "ask", "{at}");
            assert_eq!(
                json!([settings.writers_can_read, config.resume]),
                json!([file["fam"]["writers_read"], file["fam"]["resume"]])
            );
            assert_eq!(settings.max_hold_time, micros(&file["fam"]["release_ms"]), "{at}");
            assert_eq!(settings.max_retry_after, micros(&file["clients"]["max_retry_after_ms"]), "{at}");
            assert_eq!(settings.min_batch_interval, micros(&file["day"]["tick_ms"]), "{at}");
            assert_eq!(settings.overload_multiple, rules["fall_multiple"].as_f64().unwrap(), "{at}");
            assert_eq!(settings.overload_window, micros(&rules["fall_ms"]), "{at}");
            for kind in list(&tier["kind"]) {
                assert!(settings.slow_start_min_share <= bound(&kind["cold_from"], false), "{at}");
                assert!(settings.slow_start_window as f64 >= bound(&kind["cold_s"], true) * 1e6, "{at}");
            }
            assert!(settings.slow_start_min_share > 0.0, "{at}");
            assert_eq!(
                config.keepalive.as_micros() as u64,
                bound(&tier["conn"]["idle_s"], false) as u64 * 1_000_000,
                "{at}"
            );
            assert_eq!(
                config.connect_timeout.as_micros() as u64,
                micros(&tier["conn"]["connect_timeout_ms"]),
                "{at}"
            );
            assert_eq!((config.limits.memory_mb, config.limits.sockets), (96, 512), "{at}");
            // The socket limit covers two sockets per open request, idle connections to servers, and a reserve.
            assert!(
                2 * config.max_open_requests() < 512
                    && config.max_client_connections() + config.max_open_requests() < 512,
                "{at}"
            );
        }
    }
}

/// The platform describes the meaning of each report field in words. The field with the used share of a server's memory
/// decides whether a server counts as full and is skipped, so it has to be recognized by the platform's description.
#[test]
fn the_held_memory_report_field_is_recognized_by_its_description() {
    for site in sites() {
        let reports_memory = list(&site.file["tier"][0]["report"]["fields"]).contains(&json!("x0"));
        let config = parsed(&site.config_without_servers(site.variants()[0]));
        assert_eq!(config.settings.memory_field, reports_memory.then_some(0), "{}", site.name);
    }
}

/// `check-config` of the built program exits with 0 and prints nothing for each configuration.
#[test]
fn check_config_accepts_every_configuration_of_the_site_files() {
    for site in sites() {
        for (at, variant) in site.variants().into_iter().enumerate() {
            let reported =
                check_config(&format!("good-{}-{at}", site.name), &site.config_without_servers(variant));
            assert_eq!(reported, (Some(0), String::new()), "{} {variant:?}", site.name);
        }
    }
}

/// Sets the value at a path that is written as in error messages; `None` removes it.
fn set(config: &mut Value, path: &str, value: Option<Value>) {
    let (parent, key) = path.rsplit_once('.').unwrap();
    let parent = config.pointer_mut(&format!("/{}", parent.replace('.', "/"))).unwrap();
    let fields = parent.as_object_mut().unwrap();
    assert!(fields.contains_key(key), "{path} does not exist");
    match value {
        Some(value) => fields.insert(key.to_owned(), value),
        None => fields.remove(key),
    };
}

/// Runs `check-config` on a configuration of every site with one value replaced at a time, and returns the replacements
/// that were not rejected in one line that names the path.
fn accepted_values(broken: &[(&str, Option<Value>)]) -> Vec<String> {
    let mut accepted = Vec::new();
    for site in sites() {
        for (at, (path, value)) in broken.iter().enumerate() {
            // `*` stands for the index of the last class.
            let last = list(&site.file["class"]).len() - 1;
            let path = path.replace('*', &last.to_string());
            let mut config = site.config_without_servers(site.variants()[0]);
            set(&mut config, &path, value.clone());
            let named = path.trim_start_matches("settings.");
            let (code, reported) = check_config(&format!("bad-{}-{}-{at}", site.name, broken.len()), &config);
            if code != Some(1) || reported.lines().count() != 1 || !reported.contains(named) {
                accepted.push(format!("{}: {path} = {value:?}: {code:?} {reported:?}", site.name));
            }
        }
    }
    accepted
}

/// An invalid value is rejected with its path: a value assumed in its place could allow what the deployment forbids.
#[test]
fn check_config_rejects_an_invalid_value_and_names_its_path() {
    let broken = [
        ("settings.lanes.*.effect", Some(json!("keyed"))),
        ("settings.lanes.*.effect", None),
        ("settings.lanes.*.group", Some(json!("hall"))),
        ("settings.lanes.*.dedup_window_s", Some(json!("soon"))),
        ("settings.lanes.*.dedup_window_s", Some(json!(-0.9))),
        ("settings.lanes.*.give_up_s", Some(json!(0))),
        ("settings.lanes.*.give_up_s", None),
        ("settings.lanes.*.aim_s", Some(json!("1.1"))),
        ("settings.lanes.*.worth", Some(json!(-1))),
        ("settings.lanes.*.name", Some(json!(7))),
        ("settings.limits.max_attempts", Some(json!(2.5))),
        ("settings.limits.max_attempts", None),
        ("settings.domain.role_by_kind", Some(json!(["read", "rite"]))),
        ("settings.domain.kind_memory_tokens", Some(json!([0, 1000, 1000]))),
        ("settings.domain.release_within_s", Some(json!("late"))),
        ("settings.domain.token_aim_s", Some(json!(["fast", 0.1, 0.1]))),
        ("settings.prices.peer", Some(json!(-0.1))),
        ("settings.rules.cold_from", Some(json!("cool"))),
        ("settings.rules.cold_s", Some(json!("long"))),
        ("settings.rules.fall_multiple", Some(json!("much"))),
        ("settings.rules.fall_s", Some(json!("short"))),
        ("settings.balancers", Some(json!(0))),
        ("settings.locality", Some(json!("north"))),
        ("limits.memory_mb", Some(json!(0))),
        ("limits.sockets", Some(json!(0))),
    ];
    let accepted = accepted_values(&broken);
    assert!(accepted.is_empty(), "not rejected with the path: {accepted:#?}");
}

/// Values that parse as a number or a word but are outside the setting's domain, and values that could fall back to a
/// default silently, are rejected with their paths too. Each of them sets a limit: the load of a server in slow start,
/// the idle time or the establishment time of a connection, or whether an attempt may be cancelled.
#[test]
fn check_config_rejects_a_value_outside_its_domain_and_names_its_path() {
    let broken = [
        ("settings.limits.keepalive_s", Some(json!("soon"))),
        ("settings.limits.keepalive_s", Some(json!(-1))),
        ("settings.limits.connect_timeout_s", Some(json!("soon"))),
        ("settings.limits.connect_timeout_s", Some(json!(-0.2))),
        ("settings.limits.cancel", Some(json!("maybe"))),
        ("settings.limits.max_retry_after_s", Some(json!(-1))),
        ("settings.domain.release_within_s", Some(json!(-0.4))),
        ("settings.domain.resume", Some(json!("maybe"))),
        ("settings.rules.cold_from", Some(json!(-0.3))),
        ("settings.rules.cold_from", Some(json!("NaN"))),
        ("settings.rules.cold_s", Some(json!(-9))),
        ("settings.rules.fall_multiple", Some(json!(-2))),
        ("settings.rules.fall_s", Some(json!(-1))),
        ("settings.discovery", Some(json!("sometimes"))),
        ("settings.locality", Some(json!(99))),
    ];
    let accepted = accepted_values(&broken);
    assert!(accepted.is_empty(), "not rejected with the path: {accepted:#?}");
}

/// A dispatcher that runs in this process on a site's configuration, with test servers as its members.
struct RunningDispatcher {
    front: SocketAddr,
    end: oneshot::Sender<()>,
    running: tokio::task::JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
    _discovery: watch::Sender<SocketAddr>,
    _agent: Agent,
}

/// A server's address, and the indexes of its kind and of its zone.
type ServerLocation = (SocketAddr, usize, usize);

impl RunningDispatcher {
    async fn start(
        site: &Site,
        variant: ConfigVariant,
        servers: &[ServerLocation],
        change: impl Fn(&mut Value),
    ) -> Self {
        let member = |(at, &(address, kind, zone)): (usize, &ServerLocation)| {
            let kind = text(&site.file["tier"][0]["kind"][kind]["name"]);
            let mut member = dewladder_test_peers::member(address, at as u32 + 1, kind, "up");
            member["locality"] = json!(site.zone(zone));
            member["cell"] = json!(zone);
            member
        };
        let members: Vec<Value> = servers.iter().enumerate().map(member).collect();
        let list = json!({"revision": 1, "complete": true, "members": members});
        let agent = Agent::start(list.clone()).await;
        let mut config = site.config(variant, agent.address, &list);
        change(&mut config);
        let dispatcher = Dispatcher::bind(parsed(&config), &Fronts::parse("fronts", "").unwrap()).unwrap();
        let [front] = dispatcher.addresses()[..] else { panic!("expected one listener") };
        let (end, ended) = oneshot::channel::<()>();
        let (discovery, at) = watch::channel(agent.address);
        let running = tokio::spawn(dispatcher.run(at, async {
            let _ = ended.await;
        }));
        Self { front, end, running, _discovery: discovery, _agent: agent }
    }

    /// Sends a request of a class with the class's whole deadline and returns the answer.
    async fn request(&self, number: u64, class: &Value) -> String {
        let remaining = format!("{:.3}", micros(&class["deadline_ms"]) as f64 / 1e6);
        until_close(self.front, &platform(&format!("{number:016x}"), text(&class["name"]), &remaining)).await
    }

    /// Shuts the dispatcher down and waits until it has ended without an error.
    async fn ends(self) {
        let _ = self.end.send(());
        self.running.await.unwrap().unwrap();
    }
}

fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| panic!("no status in the answer {answer:?}"))
}

/// Returns the index of the first kind with a role.
fn kind(site: &Site, role: &str) -> usize {
    list(&site.file["fam"]["role"]).iter().position(|listed| listed == role).unwrap()
}

/// On every configuration one request of each class is read by a reader and written by a writer, or both by a mixed
/// server, and a class that the site does not have is rejected.
#[tokio::test]
async fn each_configuration_serves_a_request_of_each_class() {
    for site in sites() {
        for variant in site.variants() {
            let roles: Vec<&str> = list(&site.file["fam"]["role"]).iter().map(text).collect();
            let (mut servers, mut locations) = (Vec::new(), Vec::new());
            for (at, role) in roles.iter().enumerate() {
                let server =
                    Server::start(if *role == "read" { Behavior::Read } else { Behavior::Stream(2) }).await;
                locations.push((server.address, at, variant.zone));
                servers.push((role, server));
            }
            let running = RunningDispatcher::start(&site, variant, &locations, |_| {}).await;
            let classes = list(&site.file["class"]);
            for (at, class) in classes.iter().enumerate() {
                let answer = running.request(at as u64 + 1, class).await;
                assert_eq!(status(&answer), 200, "{} {variant:?} {}: {answer}", site.name, class["name"]);
                assert!(answer.contains("[DONE]"), "{answer}");
            }
            let posts = |test: &dyn Fn(&str) -> bool| -> usize {
                servers.iter().filter(|(role, _)| test(role)).map(|(_, server)| server.posts()).sum()
            };
            let written = posts(&|role| role != "read");
            let (reads, writes) = (posts(&|role| role == "read"), posts(&|role| role == "write"));
            assert_eq!((written, reads), (classes.len(), writes), "{} {variant:?}", site.name);
            let unknown_class = json!({"name": "ask", "deadline_ms": 1000});
            assert_eq!(
                status(&running.request(99, &unknown_class).await),
                400,
                "a class that the site does not have"
            );
            running.ends().await;
        }
    }
}

/// Each writer closes the connection without an answer after the last byte of a request, so that the request may have
/// run. An at-most-once request is sent to one writer and fails; it is not rejected, because a rejection would have its
/// client send it again. A deduplicated request is retried at once, only on servers of the same deduplication group,
/// and is rejected only where the group covers all servers. An idempotent request is retried on any other server.
#[tokio::test]
async fn a_request_that_may_have_run_is_retried_only_as_its_class_allows() {
    for site in sites() {
        for class in list(&site.file["class"]) {
            let (reader, writers) = (
                Server::start(Behavior::Read).await,
                [Server::start(Behavior::Close).await, Server::start(Behavior::Close).await],
            );
            let (reads, writes) = (kind(&site, "read"), kind(&site, "write"));
            let locations = [
                (reader.address, reads, 0),
                (writers[0].address, writes, 0),
                (writers[1].address, writes, 1),
            ];
            let running =
                RunningDispatcher::start(&site, ConfigVariant { high: false, zone: 0 }, &locations, |_| {})
                    .await;
            let answer = running.request(7, class).await;
            let sent = [writers[0].posts(), writers[1].posts()];
            let all: usize = sent.iter().sum();
            let at = format!("{} {}: {sent:?} {answer}", site.name, class["name"]);
            let limit = site.file["allow"]["max_attempts"].as_u64().unwrap() as usize;
            assert!(reader.posts() + all <= limit, "{at}");
            let refused = matches!(status(&answer), 429 | 503);
            match (text(&class["effect"]), class.get("group").map_or("all", text)) {
                ("unsafe", _) => assert!(all == 1 && !refused && status(&answer) != 200, "{at}"),
                ("keyed", "all") => assert!(all > 1, "{at}"),
                ("keyed", _) => assert!(all > 1 && sent.contains(&0) && !refused, "{at}"),
                _ => assert!(!sent.contains(&0), "{at}"),
            }
            running.ends().await;
        }
    }
}

/// The client of a deduplicated request sends the idempotency key by which servers drop its repeats. Readers and
/// writers have to receive the key with the first and every further attempt: without it a retry would run in addition
/// to the first attempt.
#[tokio::test]
async fn the_idempotency_key_reaches_servers_with_every_attempt() {
    const KEY: &str = "Idempotency-Key: 48e57aad1248ec7695f5c437cc69e787\r\n";
    for site in sites() {
        let Some(class) = site.class("keyed") else { continue };
        let (reader, writer) = (Peer::start().await, Peer::start().await);
        let locations = [(reader.address, kind(&site, "read"), 0), (writer.address, kind(&site, "write"), 0)];
        let running =
            RunningDispatcher::start(&site, ConfigVariant { high: false, zone: 0 }, &locations, |_| {}).await;
        let asked = platform(&format!("{:016x}", 7), text(&class["name"]), "0.900")
            .replace("X-Org", &format!("{KEY}X-Org"));
        let answer = tokio::spawn(until_close(running.front, asked.leak()));
        let (mut connection, read) = reader.asked().await;
        connection.says("HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        let (first, wrote) = writer.asked().await;
        first.resets();
        let again = tokio::time::timeout(Duration::from_secs(5), writer.asked()).await;
        let (last, again) = again.expect("not retried although its window is open");
        let keys = [read, wrote, again].map(|message| message.field("idempotency-key"));
        assert!(keys.iter().all(|key| key.as_deref() == Some(&KEY[17..49])), "{}: {keys:?}", site.name);
        last.resets();
        drop((connection, reader, writer));
        answer.await.unwrap();
        running.ends().await;
    }
}

/// A writer that holds each request until a fixed time after the arrival of the first one, then resets the connection.
/// The arrival times are recorded.
struct DelayedReset {
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl DelayedReset {
    async fn start(hold: Duration) -> Self {
        let peer = Peer::start().await;
        let (address, arrivals) = (peer.address, Arc::new(Mutex::new(Vec::new())));
        let all: Arc<Mutex<Vec<Instant>>> = arrivals.clone();
        tokio::spawn(async move {
            loop {
                let (mut connection, all) = (peer.accept().await, all.clone());
                tokio::spawn(async move {
                    while let Some(message) = connection.message().await {
                        if message.head.starts_with("DELETE") {
                            let _ = connection.says("HTTP/1.1 204 No Content\r\n\r\n").await;
                            continue;
                        }
                        let now = Instant::now();
                        let first = {
                            let mut all = all.lock().unwrap();
                            all.push(now);
                            all[0]
                        };
                        sleep((first + hold).saturating_duration_since(now)).await;
                        return connection.resets();
                    }
                });
            }
        });
        Self { address, arrivals }
    }

    /// Returns the time from the first arrival to each arrival.
    fn arrivals(&self) -> Vec<Duration> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().map(|at| *at - arrivals[0]).collect()
    }
}

/// A writer holds a deduplicated request until its deduplication window has ended, and then resets the connection. The
/// window counts from the send of the first attempt that may have run: nothing is sent after it, although time and
/// attempts are left. With a window that is still open, the same reset is followed by a further attempt.
#[tokio::test]
async fn a_deduplicated_request_is_not_retried_after_its_dedup_window() {
    let mut seen = BTreeMap::new();
    for site in sites() {
        let Some(class) = site.class("keyed") else { continue };
        let at = list(&site.file["class"]).iter().position(|listed| listed == class).unwrap();
        let window = Duration::from_micros(micros(&class["window_ms"]));
        for open in [false, true] {
            let (reader, writer) = (Server::start(Behavior::Read).await, DelayedReset::start(window).await);
            let locations =
                [(reader.address, kind(&site, "read"), 0), (writer.address, kind(&site, "write"), 0)];
            let running = RunningDispatcher::start(
                &site,
                ConfigVariant { high: false, zone: 0 },
                &locations,
                |config| {
                    if open {
                        set(config, &format!("settings.lanes.{at}.dedup_window_s"), Some(json!(60.0)));
                    }
                },
            )
            .await;
            let answer = running.request(7, class).await;
            let arrivals = writer.arrivals();
            assert!(!arrivals.is_empty() && status(&answer) != 200, "{}: {arrivals:?} {answer}", site.name);
            let late = arrivals.iter().filter(|after| **after >= window).count();
            assert_eq!(
                late > 0,
                open,
                "{}: window {window:?}, open {open}: {arrivals:?} {answer}",
                site.name
            );
            if !open && class["group"] != "all" {
                assert!(
                    !matches!(status(&answer), 429 | 503),
                    "the client would send a rejected request again: {answer}"
                );
            }
            running.ends().await;
            seen.insert((site.name.clone(), open), arrivals.len());
        }
    }
    assert!(!seen.is_empty(), "no site has a deduplicated class");
}
