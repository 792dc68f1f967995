//! `dewladder demo`: a demonstration in one command. Starts simulated servers and the dispatcher with all its fronts on
//! loopback, and prints command lines to try. The system picks the ports.

use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder_test_peers::{config, Fleet, Shape};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// The settings of the chat front and the agent check.
const FRONTS_SETTINGS: &str = r#"
[chat]
enabled = true
listen = "127.0.0.1:0"
keepalive_s = 15.0
[chat.models]
kiln-ask = "ask"
kiln-book = "book"
[chat.tenants]
key-of-clay = "chiangmai-clay"
key-of-jars = "ratchaburi-jars"
[chat.repeats]
enabled = true
after_start_s = 0.0
linger_s = 10.0
[agent_check]
enabled = true
listen = "127.0.0.1:0"
"#;

/// Runs the demo until Ctrl-C or SIGTERM.
///
/// # Errors
/// What failed, as one line of text.
pub async fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut term = signal(SignalKind::terminate())?;
    let fleet_shape = Shape {
        readers: 3,
        writers: 3,
        events: 24,
        pause: std::time::Duration::from_millis(40),
        ..Shape::default()
    };
    let fleet = Fleet::start(fleet_shape)
        .await
        .map_err(|error| format!("can't start the simulated servers: {error}"))?;
    let text = config(fleet.agent.address, &fleet.listing());
    let config = Config::parse("the demo's configuration", &text, |_| None)?;
    let fronts = Fronts::parse("the demo's fronts", FRONTS_SETTINGS)?;
    let (_discovery_sender, discovery) = watch::channel(config.discovery);
    let dispatcher = Dispatcher::bind(config, &fronts)?;
    let [platform, chat, agent] = dispatcher.addresses()[..] else {
        return Err("the dispatcher did not open all three listeners".into());
    };
    println!("three readers, three writers and a discovery agent are simulated; all ports are on loopback

  the platform's front   {platform}
  the chat API           {chat}   (keys key-of-clay, key-of-jars; models kiln-ask, kiln-book)
  HAProxy's agent check  {agent}

the platform's front:
  curl -sN http://{platform}/v1/chat/completions -H 'X-Txn: 9b1f03aa5c7e2d41' -H 'X-Lane: ask' -H 'X-Remaining: 5' -H 'X-Labels: prompt_len=100,max_out=24' -d '{{\"stream\":true}}'
the chat API, as a stream:
  curl -sN http://{chat}/v1/chat/completions -H 'Authorization: Bearer key-of-clay' -H 'Content-Type: application/json' -d '{{\"model\":\"kiln-ask\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Is a kiln free?\"}}]}}'
a booking; run it twice: the second time, the stored answer is returned:
  curl -si http://{chat}/v1/chat/completions -H 'Authorization: Bearer key-of-clay' -H 'Content-Type: application/json' -H 'Idempotency-Key: friday-1' -d '{{\"model\":\"kiln-book\",\"messages\":[{{\"role\":\"user\",\"content\":\"Friday, please.\"}}]}}'
every case of the conformance suite:
  dewladder conform --url http://{chat} --model kiln-ask --once kiln-book --key key-of-clay --other-key key-of-jars --faults

Ctrl-C ends the demo.
");
    let shutdown = async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = term.recv() => {}
        }
    };
    dispatcher.run(discovery, shutdown).await?;
    Ok(())
}
