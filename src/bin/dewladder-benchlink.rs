//! Hosts many routers that share nothing and speaks the simulator's wire on standard input and output.

#![forbid(unsafe_code)]

use std::collections::BTreeMap;
use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

use dewladder::interface::{Action, Micros};
use dewladder::wire::{write_reply, Batch, BatchReader, Message, WireError};
use dewladder::Router;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewladder-benchlink: {error}");
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
        for (front, message) in batch.messages.drain(..) {
            if message == Message::Down {
                forget_actions(front, &mut actions, &mut owners);
            }
            deliver(&mut routers, front, batch.now, message, &mut actions);
            owners.resize(actions.len(), front);
        }
        write_reply(&mut output, &batch.number, owners.iter().copied().zip(&actions))?;
    }
    Ok(())
}

/// A front killed in this batch says nothing more: what it wanted a moment ago goes with it.
fn forget_actions(front: u32, actions: &mut Vec<Action>, owners: &mut Vec<u32>) {
    let mut owner = owners.iter();
    actions.retain(|_| owner.next() != Some(&front));
    owners.retain(|&owner| owner != front);
}

fn deliver(
    routers: &mut BTreeMap<u32, Router>,
    front: u32,
    now: Micros,
    message: Message,
    actions: &mut Vec<Action>,
) {
    match message {
        Message::Born { seed, settings } => {
            routers.insert(front, Router::new(*settings, seed, now));
        }
        Message::Down => {
            routers.remove(&front);
        }
        Message::Event(event) => {
            if let Some(router) = routers.get_mut(&front) {
                router.handle(now, event, actions);
            }
        }
    }
}
