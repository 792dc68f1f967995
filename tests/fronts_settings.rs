//! The keys of `deploy/fronts.toml` that the client fronts read, their defaults, and the error for each invalid
//! value.

mod golden_file;
mod stand_in;

use std::fmt::Write as _;

use dewladder::edge::clients::chat;
use dewladder::edge::settings::{Config, Fronts};
use golden_file::assert_golden;
use serde_json::json;

/// The least that a fronts file needs for an enabled chat front.
const MINIMAL_FRONTS: &str = "[chat]\nenabled = true\nlisten = \"127.0.0.1:0\"\n";

fn config() -> Config {
    let text = stand_in::config("127.0.0.1:9".parse().unwrap(), &json!({}));
    Config::parse("config", &text, |_| None).unwrap()
}

/// Each key has a different value, and each value appears in the setting of that key.
#[test]
fn each_key_sets_its_setting() {
    let text = format!(
        "{MINIMAL_FRONTS}max_tokens = 11\nmost_open = 12\nmost_choices = 13\norigins = [\"o\"]\nkeepalive_s = 1.5\n\
         responses_percent = 14.0\nresponses_tenant_percent = 50.0\na_key_of_tomorrow = 1\n\
         [chat.models]\nm = \"ask\"\n[chat.tenants]\nk = \"t\"\n\
         [chat.repeats]\nenabled = true\nwindow_s = 21.0\nafter_start_s = 22.0\nlinger_s = 23.0\nmost_entries = 24\n\
         memory_percent = 25.0\nmost_answer_kib = 26\nmost_readers = 27\ntenant_percent = 28.0\nbudget_percent = 29.0\n\
         budget_per_s = 0.3\nbudget_most_saved = 31\nretry_in_s = 1.2\nmost_retry_in_s = 33.0\nretry_headers = [\"x-r\"]\n\
         [chat.resume]\nenabled = true\nmode = \"restart\"\nmost = 41\nwithin_s = 42.0\nmost_text_kib = 43\n\
         [agent_check]\nenabled = true\nlisten = \"127.0.0.1:0\"\n"
    );
    let (fronts, limits) = (Fronts::parse("fronts", &text).unwrap(), config().limits);
    let chat = fronts.chat.unwrap();
    assert!(chat.enabled && fronts.agent_check.unwrap().enabled);
    assert_eq!((chat.max_tokens, chat.most_open, chat.most_choices, chat.keepalive_s), (11, 12, 13, 1.5));
    assert_eq!(
        (&chat.origins[..], &chat.models["m"], &chat.tenants["k"]),
        (&["o".to_owned()][..], &"ask".to_owned(), &"t".to_owned())
    );
    let memory = 192 << 20;
    assert_eq!(chat.check_and_response_memory(&limits).unwrap(), (memory * 14 / 100, memory * 7 / 100));
    let policy = chat.repeats.policy(&limits).unwrap();
    assert!(chat.repeats.enabled);
    assert_eq!(chat.repeats.retry_headers, ["x-r"]);
    assert_eq!(
        (policy.retention_us, policy.startup_guard_us, policy.linger_us),
        (21_000_000, 22_000_000, 23_000_000)
    );
    assert_eq!((policy.max_entries, policy.max_bytes, policy.max_answer_bytes), (24, memory / 4, 26 << 10));
    assert_eq!((policy.max_readers, policy.tenant_permille), (27, 280));
    let budget = policy.retry_budget;
    assert_eq!((budget.permille, budget.permille_per_second, budget.max_saved), (290, 300, 31));
    assert_eq!((budget.min_retry_after_us, budget.max_retry_after_us), (1_200_000, 33_000_000));
    let resume = chat.resume.policy().unwrap().unwrap();
    assert_eq!(resume.mode, dewladder_resume::Mode::Restart);
    assert_eq!(
        (resume.max_resumptions, resume.max_duration_us, resume.max_text_bytes),
        (41, 42_000_000, 43 << 10)
    );
}

/// The deployed file has the same effect as a file that leaves these keys out.
#[test]
fn the_deployed_file_holds_the_defaults() {
    let deployed = Fronts::parse("fronts", include_str!("../deploy/fronts.toml")).unwrap().chat.unwrap();
    let defaults = Fronts::parse("fronts", MINIMAL_FRONTS).unwrap().chat.unwrap();
    let limits = config().limits;
    assert_eq!(deployed.repeats, defaults.repeats);
    assert_eq!(deployed.resume, defaults.resume);
    assert_eq!(deployed.check_and_response_memory(&limits), defaults.check_and_response_memory(&limits));
    assert_eq!((deployed.max_tokens, deployed.most_open, deployed.most_choices), (800, 64, 4));
    assert_eq!((defaults.max_tokens, defaults.most_open, defaults.most_choices), (800, 64, 4));
    assert_eq!((deployed.keepalive_s, defaults.keepalive_s, defaults.origins.len()), (0.0, 0.0, 0));
}

#[test]
fn each_invalid_value_has_the_error_of_the_golden_file() {
    let mut text = String::new();
    for lines in [
        "keepalive_s = -1.0",
        "keepalive_s = nan",
        "responses_percent = 51.0",
        "responses_tenant_percent = 101.0",
        "most_choices = 0",
        "max_tokens = \"many\"",
        "[chat.models]\nm = \"cook\"",
        "[chat.repeats]\nkiln = 1",
        "[chat.repeats]\nwindow_s = 0.5",
        "[chat.repeats]\nafter_start_s = -1.0",
        "[chat.repeats]\nlinger_s = 86401.0",
        "[chat.repeats]\nmost_entries = 0",
        "[chat.repeats]\nmost_entries = 10000001",
        "[chat.repeats]\nmemory_percent = 0.0",
        "[chat.repeats]\nmost_answer_kib = 0",
        "[chat.repeats]\nmost_readers = 1001",
        "[chat.repeats]\ntenant_percent = 101.0",
        "[chat.repeats]\nbudget_percent = 101.0",
        "[chat.repeats]\nbudget_per_s = -1.0",
        "[chat.repeats]\nretry_in_s = 0.0",
        "[chat.repeats]\nmost_retry_in_s = 0.5",
        "[chat.repeats]\nretry_headers = [\"a b\"]",
        "[chat.resume]\nkiln = 1",
        "[chat.resume]\nmode = \"guess\"",
        "[chat.resume]\nwithin_s = 0.0",
        "[chat.resume]\nmost = 101",
        "[chat.resume]\nmost_text_kib = 1025",
    ] {
        let error = match Fronts::parse("fronts", &format!("{MINIMAL_FRONTS}{lines}\n")) {
            Ok(fronts) => {
                chat::check(&fronts.chat.unwrap(), &config()).expect_err("an invalid value").to_string()
            }
            Err(error) => error.to_string(),
        };
        writeln!(text, "{}\n  {error}", lines.replace('\n', " ")).unwrap();
    }
    assert_golden("fronts_settings.txt", &text);
}
