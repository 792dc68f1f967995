//! Runs the routers of many simulated dispatchers, which share no state, and speaks the simulator's protocol on
//! standard input and output.

#![forbid(unsafe_code)]

use std::collections::BTreeMap;
use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

use dewladder::interface::{Action, Event, Micros, RequestId};
use dewladder::simulator_adapter::{write_reply, Batch, BatchReader, Message, WireError};
use dewladder::Router;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewladder-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each batch with the actions of its dispatchers until the input ends.
fn run() -> Result<(), WireError> {
    let mut input = BatchReader::new(BufReader::with_capacity(1 << 16, stdin().lock()));
    let mut output = BufWriter::with_capacity(1 << 16, stdout().lock());
    let mut routers: BTreeMap<u32, Router> = BTreeMap::new();
    let mut batch = Batch::default();
    let mut actions: Vec<Action> = Vec::new();
    let mut owners: Vec<u32> = Vec::new();
    while input.read(&mut batch)? {
        actions.clear();
        owners.clear();
        for (dispatcher, message) in batch.messages.drain(..) {
            if message == Message::Killed {
                discard_actions(dispatcher, &mut actions, &mut owners);
            }
            deliver(&mut routers, dispatcher, batch.now, message, &mut actions);
            owners.resize(actions.len(), dispatcher);
        }
        write_reply(&mut output, &batch.number, owners.iter().copied().zip(&actions))?;
    }
    Ok(())
}

/// Discards the pending actions of a dispatcher killed in this batch: the simulator must not see them.
fn discard_actions(dispatcher: u32, actions: &mut Vec<Action>, owners: &mut Vec<u32>) {
    let mut owner = owners.iter();
    actions.retain(|_| owner.next() != Some(&dispatcher));
    owners.retain(|&owner| owner != dispatcher);
}

/// Starts or removes the router of a dispatcher, or passes it an event. Events for a dispatcher without a router
/// are dropped.
fn deliver(
    routers: &mut BTreeMap<u32, Router>,
    dispatcher: u32,
    now: Micros,
    message: Message,
    actions: &mut Vec<Action>,
) {
    match message {
        Message::Started { seed, settings } => {
            routers.insert(dispatcher, Router::new(*settings, seed, now));
        }
        Message::Killed => {
            routers.remove(&dispatcher);
        }
        Message::Event(event) => {
            if let Some(router) = routers.get_mut(&dispatcher) {
                let first = actions.len();
                router.handle(now, event, actions);
                report_written(router, now, first, actions);
            }
        }
    }
}

/// Reports the attempts among the actions from `first` on as written: the simulator doesn't tell when they are.
fn report_written(router: &mut Router, now: Micros, first: usize, actions: &mut Vec<Action>) {
    let sent: Vec<RequestId> = actions[first..]
        .iter()
        .filter_map(|action| match action {
            Action::Assign { id, .. } => Some(*id),
            _ => None,
        })
        .collect();
    for id in sent {
        router.handle(now, Event::AttemptWritten(id), actions);
    }
}
