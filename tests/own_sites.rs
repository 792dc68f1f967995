//! The project's own deployments under `deploy/sites/`: what their files say reaches the decisions through the
//! platform's configuration, and requests of each class are held to it. The configurations are made from the site files
//! and from the platform's words in `wire.json` beside them, both ends of every range, for each zone.

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

/// Nobody listens there.
const NOWHERE: &str = "127.0.0.1:9";

/// A deployment as its files have it.
struct Site {
    name: String,
    file: Value,
    wire: Value,
}

/// Which of its days: one end of all ranges, seen from one zone.
#[derive(Clone, Copy, Debug)]
struct Draw {
    high: bool,
    zone: usize,
}

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

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_else(|| panic!("{value} is no text"))
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// A figure, or one end of its range.
fn figure(value: &Value, high: bool) -> f64 {
    let ends: Vec<f64> = match value {
        Value::Array(items) => items.iter().map(|item| item.as_f64().unwrap()).collect(),
        one => vec![one.as_f64().unwrap_or_else(|| panic!("{one} is no figure"))],
    };
    let pick = if high { f64::max } else { f64::min };
    ends.into_iter().reduce(pick).unwrap()
}

fn micros(milliseconds: &Value) -> Micros {
    (milliseconds.as_f64().unwrap() * 1e3).round() as Micros
}

impl Site {
    fn draws(&self) -> Vec<Draw> {
        let zones = 0..list(&self.file["net"]["zones"]).len();
        zones.flat_map(|zone| [false, true].map(|high| Draw { high, zone })).collect()
    }

    /// The platform's name for a setting.
    fn word(&self, name: &str) -> String {
        self.wire["init"]["rename"][name].as_str().unwrap_or(name).to_owned()
    }

    /// The same for a time, told in seconds.
    fn time(&self, name: &str) -> String {
        self.word(name) + text(&self.wire["init"]["unit_suffix"])
    }

    /// The platform's word for a value.
    fn value(&self, name: &Value) -> String {
        self.wire["init"]["words"][text(name)].as_str().unwrap_or(text(name)).to_owned()
    }

    fn zone(&self, at: usize) -> &str {
        text(&self.file["net"]["zones"][at])
    }

    /// The class whose effect the file names so.
    fn class(&self, effect: &str) -> Option<&Value> {
        list(&self.file["class"]).iter().find(|class| class["effect"] == effect)
    }

    /// The settings that such a day leads to.
    fn settings(&self, draw: Draw) -> Value {
        let (n, t, file) = (|name| self.word(name), |name| self.time(name), &self.file);
        let at = |value: &Value| figure(value, draw.high);
        let seconds = |value: &Value| at(value) / 1e3;
        let (tier, fam, allow) = (&file["tier"][0], &file["fam"], &file["allow"]);
        let (kinds, classes) = (list(&tier["kind"]), list(&file["class"]));
        let of_kinds = |name: &str| kinds.iter().map(|kind| kind[name].clone()).collect::<Vec<_>>();
        let talks = |name: &str, by: f64| -> Vec<f64> {
            list(&fam["class"]).iter().map(|class| class[name].as_f64().unwrap() * by).collect()
        };
        let memory = list(&fam["engine"]).iter().map(|server| (at(&server["memory_k"]) * 1e3).round() as u64);
        let stated = |name: &str, pick: fn(f64, f64) -> f64, high: bool| {
            kinds.iter().map(|kind| figure(&kind[name], high)).reduce(pick).unwrap()
        };
        let lane = |class: &Value| {
            json!({"name": class["name"], (t("aim")): seconds(&class["aim_ms"]), (t("deadline")): seconds(&class["deadline_ms"]),
                (t("window")): class.get("window_ms").map_or(5.0, &seconds), "effect": self.value(&class["effect"]),
                "group": class.get("group").map_or("all", text), "late_worth": class["late_worth"],
                (n("stream")): class["stream"], "worth": class["worth"]})
        };
        let tenant = |tenant: &Value| json!({"name": tenant["name"], "share": tenant["share"], (n("quota_per_s")): 9.0});
        let mut domain = json!({"aim_us_per_1000_prompt_tokens": talks("aim_ms_per_k", 1e3), (n("far_price")): fam["far_price"],
            (n("ahead")): fam["ahead"], "kind_memory_tokens": memory.collect::<Vec<_>>(), (n("writers_read")): fam["writers_read"],
            (t("release")): seconds(&fam["release_ms"]), "resume": fam["resume"], (n("kind_role")): fam["role"],
            (t("token_aim")): talks("token_ms", 1e-3)});
        // In the configuration these are words with spaces; the simulator's pairs alone turn them to underscores.
        let meanings = [
            ("x0", "share of memory that is held"),
            ("x1", "thousands of prompt tokens waiting to be read or fetched"),
        ];
        for (field, means) in meanings {
            if list(&tier["report"]["fields"]).contains(&json!(field)) {
                domain[format!("report_{field}")] = json!(means);
            }
        }
        json!({"balancers": at(&file["scale"]["balancers"]) as u32, (n("clients")): {"marks_retry": file["clients"]["marks_retry"]},
            "discovery": self.value(&file["discovery"]["mode"]), (n("family_info")): domain, (n("zones")): file["net"]["zones"],
            "family": file["family"], "goal": file["goal"], "kinds": of_kinds("name"),
            (n("classes")): classes.iter().map(lane).collect::<Vec<_>>(),
            "limits": {"cancel": allow["cancel"], (t("connect_timeout")): seconds(&tier["conn"]["connect_timeout_ms"]),
                "cpu_us_per_request": 0.0, "cpu_us_per_s": at(&allow["cpu_ms_per_s"]) * 1e3, (t("conn_idle")): at(&tier["conn"]["idle_s"]),
                "max_attempts": allow["max_attempts"], "max_open": 20000, (t("max_retry_after")): seconds(&file["clients"]["max_retry_after_ms"]),
                (n("streams_per_conn")): tier["conn"]["streams"], (n("second_copies")): allow["second_copies"], "peers": allow["peers"],
                "probes": allow["probes"], "retry_after": allow["retry_after"]},
            (n("zone")): draw.zone, (n("me")): 0, (n("tenants")): list(&file["tenant"]).iter().map(tenant).collect::<Vec<_>>(),
            "prices": file["prices"], (t("tick")): seconds(&file["day"]["tick_ms"]),
            "rules": {"answer_slack_s": 0.008, "cold_from": stated("cold_from", f64::min, false), "cold_s": stated("cold_s", f64::max, true),
                "fall_multiple": file["rules"]["fall_multiple"], "fall_s": seconds(&file["rules"]["fall_ms"]),
                (t("ask_within")): 10.0, (t("drain_grace")): seconds(&file["rules"]["drain_grace_ms"])},
            (n("tiers")): [tier["name"]], (n("report")): {"fields": tier["report"]["fields"], (n("how")): self.value(&tier["report"]["how"])},
            "tier": 0, "weights": self.value(&tier["weights"]), "worth_by": file["load"]["worth_by"]})
    }

    /// The platform's configuration, with half of what a dispatcher usually has.
    fn config(&self, draw: Draw, discovery: SocketAddr, known: &Value) -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512}, "known": known, "settings": self.settings(draw)})
    }

    fn nowhere(&self, draw: Draw) -> Value {
        let none = json!({"revision": 1, "complete": true, "members": []});
        self.config(draw, NOWHERE.parse().unwrap(), &none)
    }
}

fn parsed(config: &Value) -> Config {
    Config::parse("config", &config.to_string(), |_| None).unwrap()
}

/// What `check-config` says of a configuration: its exit code and what it wrote to standard error.
fn checked(name: &str, config: &Value) -> (Option<i32>, String) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("own-sites");
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
    program.args(["check-config", "--config"]).arg(&path).env_clear().current_dir(&folder);
    let output = program.output().unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

/// The two files differ from each other, and cover what they are there for: a frequent class that must not run twice,
/// one that may repeat within a window shorter than its deadline, and a deadline near a second.
#[test]
fn the_own_deployments_cover_what_they_are_there_for() {
    let sites = sites();
    let classes = || sites.iter().flat_map(|site| list(&site.file["class"]));
    let frequent = |site: &Site| {
        let share = |class: &&Value| figure(&class["share"], false);
        let most = list(&site.file["class"]).iter().max_by(|a, b| share(a).total_cmp(&share(b)));
        most.is_some_and(|class| class["effect"] == "unsafe")
    };
    assert!(sites.iter().any(frequent), "a frequent class that must not run twice");
    let short = |class: &Value| {
        class["effect"] == "keyed" && micros(&class["window_ms"]) < micros(&class["deadline_ms"])
    };
    assert!(classes().any(short), "one that may repeat only within a short window");
    assert!(classes().any(|class| micros(&class["deadline_ms"]) <= 1_200_000), "a deadline near a second");
    let counts: Vec<usize> = sites.iter().map(|site| list(&site.file["class"]).len()).collect();
    assert_ne!(counts[0], counts[1], "other numbers of classes");
}

/// Settings become decisions: a class that is read with another effect, window or limit than its deployment has would
/// be sent twice, or refused where it may not be.
#[test]
fn classes_effects_windows_and_limits_are_taken_as_the_site_file_says() {
    for site in sites() {
        for draw in site.draws() {
            let (file, at) = (&site.file, format!("{} {draw:?}", site.name));
            let config = parsed(&site.nowhere(draw));
            let settings = &config.settings;
            let classes: Vec<_> = settings.current().collect();
            assert_eq!(classes.len(), list(&file["class"]).len(), "{at}");
            for ((class, told), talk) in
                classes.iter().zip(list(&file["class"])).zip(list(&file["fam"]["class"]))
            {
                let effect = match text(&told["effect"]) {
                    "safe" => Effect::Idempotent,
                    "keyed" => Effect::Deduplicated,
                    "unsafe" => Effect::AtMostOnce,
                    other => panic!("{other}"),
                };
                let group = match told.get("group").map(text) {
                    Some("zone") => DedupGroup::Zone,
                    Some("cell") => DedupGroup::Cell,
                    _ => DedupGroup::All,
                };
                assert_eq!(
                    (class.name.as_str(), class.effect, class.dedup_group),
                    (text(&told["name"]), effect, group),
                    "{at}"
                );
                assert_eq!(
                    (class.latency_objective, class.default_timeout),
                    (micros(&told["aim_ms"]), micros(&told["deadline_ms"])),
                    "{at}"
                );
                if let Some(window) = told.get("window_ms") {
                    assert_eq!(class.dedup_window, micros(window), "{at}");
                }
                assert_eq!(
                    u64::from(class.max_attempts),
                    file["allow"]["max_attempts"].as_u64().unwrap(),
                    "{at}"
                );
                assert_eq!(class.priority_weight, told["worth"].as_f64().unwrap(), "{at}");
                assert_eq!(class.token_interval_objective, micros(&talk["token_ms"]), "{at}");
                assert_eq!(class.latency_objective_per_1000_tokens, micros(&talk["aim_ms_per_k"]), "{at}");
            }
            let roles: Vec<&str> = list(&file["fam"]["role"]).iter().map(text).collect();
            for (at_kind, kind) in settings.kinds.iter().enumerate() {
                let role = match roles[at_kind] {
                    "read" => Role::Reader,
                    "write" => Role::Writer,
                    _ => Role::Mixed,
                };
                let memory = figure(&file["fam"]["engine"][at_kind]["memory_k"], draw.high) * 1e3;
                assert_eq!((kind.role, kind.memory_tokens), (role, memory.round() as u64), "{at}");
            }
            assert_eq!(settings.kinds.len(), roles.len(), "{at}");
            let (allow, rules, tier) = (&file["allow"], &file["rules"], &file["tier"][0]);
            assert_eq!(settings.zone.0 as usize, draw.zone, "{at}");
            assert_eq!(config.names.zones[draw.zone], site.zone(draw.zone), "{at}");
            assert_eq!(
                f64::from(settings.dispatcher_count),
                figure(&file["scale"]["balancers"], draw.high).floor(),
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
                assert!(settings.slow_start_min_share <= figure(&kind["cold_from"], false), "{at}");
                assert!(settings.slow_start_window as f64 >= figure(&kind["cold_s"], true) * 1e6, "{at}");
            }
            assert!(settings.slow_start_min_share > 0.0, "{at}");
            assert_eq!(
                config.keepalive.as_micros() as u64,
                figure(&tier["conn"]["idle_s"], false) as u64 * 1_000_000,
                "{at}"
            );
            assert_eq!(
                config.connect_timeout.as_micros() as u64,
                micros(&tier["conn"]["connect_timeout_ms"]),
                "{at}"
            );
            assert_eq!((config.limits.memory_mb, config.limits.sockets), (96, 512), "{at}");
            // Two sockets for each open request, idle ones to servers, and some to spare: all within the limit.
            assert!(
                2 * config.max_open_requests() < 512
                    && config.max_client_connections() + config.max_open_requests() < 512,
                "{at}"
            );
        }
    }
}

/// What a report's field means is told in words. Where one holds the share of a server's memory, decisions go by it (a full
/// server is passed): it has to be known by the words of the platform's configuration.
#[test]
fn the_field_that_tells_the_memory_held_is_known_by_the_configurations_own_words() {
    for site in sites() {
        let tells = list(&site.file["tier"][0]["report"]["fields"]).contains(&json!("x0"));
        let config = parsed(&site.nowhere(site.draws()[0]));
        assert_eq!(config.settings.memory_field, tells.then_some(0), "{}", site.name);
    }
}

/// The program as it is started says of each configuration that it can be used.
#[test]
fn check_config_finds_each_configuration_of_the_own_deployments_usable() {
    for site in sites() {
        for (at, draw) in site.draws().into_iter().enumerate() {
            let said = checked(&format!("good-{}-{at}", site.name), &site.nowhere(draw));
            assert_eq!(said, (Some(0), String::new()), "{} {draw:?}", site.name);
        }
    }
}

/// Sets the value at a path as error messages word it; `None` takes it away.
fn set(config: &mut Value, path: &str, value: Option<Value>) {
    let (parent, key) = path.rsplit_once('.').unwrap();
    let parent = config.pointer_mut(&format!("/{}", parent.replace('.', "/"))).unwrap();
    let fields = parent.as_object_mut().unwrap();
    assert!(fields.contains_key(key), "{path} is there to be broken");
    match value {
        Some(value) => fields.insert(key.to_owned(), value),
        None => fields.remove(key),
    };
}

/// Starts `check-config` on the configuration of every own deployment with one value broken, and gives those that it
/// did not refuse in one line that names the path.
fn not_refused(broken: &[(&str, Option<Value>)]) -> Vec<String> {
    let mut taken = Vec::new();
    for site in sites() {
        for (at, (path, value)) in broken.iter().enumerate() {
            // `*` is the last class.
            let last = list(&site.file["class"]).len() - 1;
            let path = path.replace('*', &last.to_string());
            let mut config = site.nowhere(site.draws()[0]);
            set(&mut config, &path, value.clone());
            let named = path.trim_start_matches("settings.");
            let (code, said) = checked(&format!("bad-{}-{}-{at}", site.name, broken.len()), &config);
            if code != Some(1) || said.lines().count() != 1 || !said.contains(named) {
                taken.push(format!("{}: {path} = {value:?}: {code:?} {said:?}", site.name));
            }
        }
    }
    taken
}

/// A broken value is refused with its path: a guess could break a rule.
#[test]
fn a_broken_value_in_an_own_deployment_is_refused_with_its_path() {
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
    let taken = not_refused(&broken);
    assert!(taken.is_empty(), "not refused with the path: {taken:#?}");
}

/// Values that read as a number or a word but make no sense, and such as fall back to a default unsaid: each decides what
/// a rule allows (what a cold server bears, how long a connection may rest or come up, whether an attempt may be called
/// off), so that each is refused with its path too.
#[test]
fn a_senseless_value_in_an_own_deployment_is_refused_with_its_path() {
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
    let taken = not_refused(&broken);
    assert!(taken.is_empty(), "not refused with the path: {taken:#?}");
}

/// A dispatcher in this process on a deployment's configuration, before these servers.
struct Running {
    front: SocketAddr,
    end: oneshot::Sender<()>,
    running: tokio::task::JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
    _discovery: watch::Sender<SocketAddr>,
    _agent: Agent,
}

/// Where a server stands: its address, its kind and its zone, both by number.
type Place = (SocketAddr, usize, usize);

impl Running {
    async fn start(site: &Site, draw: Draw, servers: &[Place], change: impl Fn(&mut Value)) -> Self {
        let member = |(at, &(address, kind, zone)): (usize, &Place)| {
            let kind = text(&site.file["tier"][0]["kind"][kind]["name"]);
            let mut member = dewladder_test_peers::member(address, at as u32 + 1, kind, "up");
            member["locality"] = json!(site.zone(zone));
            member["cell"] = json!(zone);
            member
        };
        let members: Vec<Value> = servers.iter().enumerate().map(member).collect();
        let list = json!({"revision": 1, "complete": true, "members": members});
        let agent = Agent::start(list.clone()).await;
        let mut config = site.config(draw, agent.address, &list);
        change(&mut config);
        let dispatcher = Dispatcher::bind(parsed(&config), &Fronts::parse("fronts", "").unwrap()).unwrap();
        let [front] = dispatcher.addresses()[..] else { panic!("one listener") };
        let (end, ended) = oneshot::channel::<()>();
        let (discovery, at) = watch::channel(agent.address);
        let running = tokio::spawn(dispatcher.run(at, async {
            let _ = ended.await;
        }));
        Self { front, end, running, _discovery: discovery, _agent: agent }
    }

    /// A request of a class, with all of its time; the answer.
    async fn asks(&self, number: u64, class: &Value) -> String {
        let remaining = format!("{:.3}", micros(&class["deadline_ms"]) as f64 / 1e6);
        until_close(self.front, &platform(&format!("{number:016x}"), text(&class["name"]), &remaining)).await
    }

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
        .unwrap_or_else(|| panic!("an answer: {answer:?}"))
}

/// The number of a kind with this role.
fn kind(site: &Site, role: &str) -> usize {
    list(&site.file["fam"]["role"]).iter().position(|told| told == role).unwrap()
}

/// On every configuration one request of each class is read by a reader and written by a writer, or both by a mixed server,
/// and a class of another deployment is none here.
#[tokio::test]
async fn each_configuration_serves_a_request_of_each_class() {
    for site in sites() {
        for draw in site.draws() {
            let roles: Vec<&str> = list(&site.file["fam"]["role"]).iter().map(text).collect();
            let (mut servers, mut places) = (Vec::new(), Vec::new());
            for (at, role) in roles.iter().enumerate() {
                let server =
                    Server::start(if *role == "read" { Behavior::Read } else { Behavior::Stream(2) }).await;
                places.push((server.address, at, draw.zone));
                servers.push((role, server));
            }
            let running = Running::start(&site, draw, &places, |_| {}).await;
            let classes = list(&site.file["class"]);
            for (at, class) in classes.iter().enumerate() {
                let answer = running.asks(at as u64 + 1, class).await;
                assert_eq!(status(&answer), 200, "{} {draw:?} {}: {answer}", site.name, class["name"]);
                assert!(answer.contains("[DONE]"), "{answer}");
            }
            let posts = |test: &dyn Fn(&str) -> bool| -> usize {
                servers.iter().filter(|(role, _)| test(role)).map(|(_, server)| server.posts()).sum()
            };
            let written = posts(&|role| role != "read");
            let (reads, writes) = (posts(&|role| role == "read"), posts(&|role| role == "write"));
            assert_eq!((written, reads), (classes.len(), writes), "{} {draw:?}", site.name);
            let stranger = json!({"name": "ask", "deadline_ms": 1000});
            assert_eq!(status(&running.asks(99, &stranger).await), 400, "a class of another deployment");
            running.ends().await;
        }
    }
}

/// A writer closes with no answer after the last byte of a request: it may have run. A class that must not run twice is
/// sent once and fails (a refusal would have its client send it again); a keyed one is sent again at once, only to
/// servers of the group that drops repeats, and is refused only where that group is all; a safe one goes to any other.
#[tokio::test]
async fn what_may_have_run_is_sent_again_only_as_its_class_allows() {
    for site in sites() {
        for class in list(&site.file["class"]) {
            let (reader, writers) = (
                Server::start(Behavior::Read).await,
                [Server::start(Behavior::Close).await, Server::start(Behavior::Close).await],
            );
            let (reads, writes) = (kind(&site, "read"), kind(&site, "write"));
            let places = [
                (reader.address, reads, 0),
                (writers[0].address, writes, 0),
                (writers[1].address, writes, 1),
            ];
            let running = Running::start(&site, Draw { high: false, zone: 0 }, &places, |_| {}).await;
            let answer = running.asks(7, class).await;
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

/// The client of a keyed request sends the key by which servers drop its repeats. Readers and writers have to get it with
/// every attempt, the first and further ones: without it the second would run beside the first.
#[tokio::test]
async fn the_key_of_a_keyed_request_reaches_servers_with_every_attempt() {
    const KEY: &str = "Idempotency-Key: 48e57aad1248ec7695f5c437cc69e787\r\n";
    for site in sites() {
        let Some(class) = site.class("keyed") else { continue };
        let (reader, writer) = (Peer::start().await, Peer::start().await);
        let places = [(reader.address, kind(&site, "read"), 0), (writer.address, kind(&site, "write"), 0)];
        let running = Running::start(&site, Draw { high: false, zone: 0 }, &places, |_| {}).await;
        let asked = platform(&format!("{:016x}", 7), text(&class["name"]), "0.900")
            .replace("X-Org", &format!("{KEY}X-Org"));
        let answer = tokio::spawn(until_close(running.front, asked.leak()));
        let (mut line, read) = reader.asked().await;
        line.says("HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n").await.unwrap();
        let (first, wrote) = writer.asked().await;
        first.resets();
        let again = tokio::time::timeout(Duration::from_secs(5), writer.asked()).await;
        let (last, again) = again.expect("sent again: its window is open");
        let keys = [read, wrote, again].map(|message| message.field("idempotency-key"));
        assert!(keys.iter().all(|key| key.as_deref() == Some(&KEY[17..49])), "{}: {keys:?}", site.name);
        last.resets();
        drop((line, reader, writer));
        answer.await.unwrap();
        running.ends().await;
    }
}

/// A writer that holds each request until so long after the first one came, and closes with a reset then. When each came
/// is taken down.
struct Holding {
    address: SocketAddr,
    came: Arc<Mutex<Vec<Instant>>>,
}

impl Holding {
    async fn start(hold: Duration) -> Self {
        let peer = Peer::start().await;
        let (address, came) = (peer.address, Arc::new(Mutex::new(Vec::new())));
        let all: Arc<Mutex<Vec<Instant>>> = came.clone();
        tokio::spawn(async move {
            loop {
                let (mut line, all) = (peer.accept().await, all.clone());
                tokio::spawn(async move {
                    while let Some(message) = line.message().await {
                        if message.head.starts_with("DELETE") {
                            let _ = line.says("HTTP/1.1 204 No Content\r\n\r\n").await;
                            continue;
                        }
                        let now = Instant::now();
                        let first = {
                            let mut all = all.lock().unwrap();
                            all.push(now);
                            all[0]
                        };
                        sleep((first + hold).saturating_duration_since(now)).await;
                        return line.resets();
                    }
                });
            }
        });
        Self { address, came }
    }

    /// For each request, how long after the first it came.
    fn came(&self) -> Vec<Duration> {
        let came = self.came.lock().unwrap();
        came.iter().map(|at| *at - came[0]).collect()
    }
}

/// A keyed request is held by its writer until its window has run out, and the connection is reset then. The window counts
/// from the send of the first attempt that may have run: nothing goes out after it, though time and attempts are left.
/// With a window that is still open, the same reset is followed by a further attempt.
#[tokio::test]
async fn a_keyed_request_is_not_sent_again_once_its_window_has_run_out() {
    let mut seen = BTreeMap::new();
    for site in sites() {
        let Some(class) = site.class("keyed") else { continue };
        let at = list(&site.file["class"]).iter().position(|told| told == class).unwrap();
        let window = Duration::from_micros(micros(&class["window_ms"]));
        for open in [false, true] {
            let (reader, writer) = (Server::start(Behavior::Read).await, Holding::start(window).await);
            let places =
                [(reader.address, kind(&site, "read"), 0), (writer.address, kind(&site, "write"), 0)];
            let running = Running::start(&site, Draw { high: false, zone: 0 }, &places, |config| {
                if open {
                    set(config, &format!("settings.lanes.{at}.dedup_window_s"), Some(json!(60.0)));
                }
            })
            .await;
            let answer = running.asks(7, class).await;
            let came = writer.came();
            assert!(!came.is_empty() && status(&answer) != 200, "{}: {came:?} {answer}", site.name);
            let late = came.iter().filter(|after| **after >= window).count();
            assert_eq!(late > 0, open, "{}: window {window:?}, open {open}: {came:?} {answer}", site.name);
            if !open && class["group"] != "all" {
                assert!(!matches!(status(&answer), 429 | 503), "a refusal would be sent again: {answer}");
            }
            running.ends().await;
            seen.insert((site.name.clone(), open), came.len());
        }
    }
    assert!(!seen.is_empty(), "a keyed class is there");
}
