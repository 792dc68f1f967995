//! Hosts many routers that share nothing and speaks the simulator's wire on standard input and output.

#![forbid(unsafe_code)]

use std::collections::BTreeMap;
use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

use dewladder::interface::{Action, Micros};
use dewladder::simulator_adapter::{write_reply, Batch, BatchReader, Message, WireError};
use dewladder::Router;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewladder-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), WireError> {
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
                forget_actions(dispatcher, &mut actions, &mut owners);
            }
            deliver(&mut routers, dispatcher, batch.now, message, &mut actions);
            owners.resize(actions.len(), dispatcher);
        }
        write_reply(&mut output, &batch.number, owners.iter().copied().zip(&actions))?;
    }
    Ok(())
}

/// A dispatcher killed in this batch says nothing more: what it wanted a moment ago goes with it.
fn forget_actions(dispatcher: u32, actions: &mut Vec<Action>, owners: &mut Vec<u32>) {
    let mut owner = owners.iter();
    actions.retain(|_| owner.next() != Some(&dispatcher));
    owners.retain(|&owner| owner != dispatcher);
}

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
                router.handle(now, event, actions);
            }
        }
    }
}
