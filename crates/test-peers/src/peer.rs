//! A peer that accepts, reads, writes and closes only when the test calls for it, so that a test can force either order
//! of two concurrent events.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::http::{field, message};

/// A listening socket whose connections the test accepts one by one.
#[derive(Debug)]
pub struct Peer {
    /// The address of the listening socket.
    pub address: SocketAddr,
    listener: TcpListener,
}

impl Peer {
    /// Listens on a free loopback port.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self { address: listener.local_addr().unwrap(), listener }
    }

    /// Waits for the next connection and accepts it.
    pub async fn accept(&self) -> Line {
        Line { stream: self.listener.accept().await.unwrap().0, read: Vec::new() }
    }

    /// Accepts the next connection and reads the first message on it. Panics if the connection ends before.
    pub async fn asked(&self) -> (Line, Message) {
        let mut line = self.accept().await;
        let asked = line.message().await.expect("a message");
        (line, asked)
    }
}

/// A message that was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Start line and headers, without the blank line.
    pub head: String,
    /// The body, as long as `Content-Length` says; empty without that header.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header with this name; see [`field`].
    #[must_use]
    pub fn field(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }
}

/// A connection whose other side is under test: one that a [`Peer`] accepted, or one to a front.
#[derive(Debug)]
pub struct Line {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Line {
    /// Connects to an address, as a client.
    pub async fn to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self { stream, read: Vec::new() }
    }

    /// Reads the next message, see [`message`]; `None` if the other side closes or resets before its end.
    pub async fn message(&mut self) -> Option<Message> {
        let (head, body) = message(&mut self.stream, &mut self.read).await?;
        Some(Message { head, body })
    }

    /// Writes this text.
    ///
    /// # Errors
    /// The error of the socket, as after a reset by the other side.
    pub async fn says(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Reads until the other side closes (`Ok`) or resets (`Err`); returns the text that no earlier call took as a
    /// message.
    pub async fn rest(&mut self) -> (String, io::Result<()>) {
        let ended = loop {
            match self.stream.read_buf(&mut self.read).await {
                Ok(0) => break Ok(()),
                Ok(_) => {}
                Err(error) => break Err(error),
            }
        };
        (String::from_utf8_lossy(&std::mem::take(&mut self.read)).into_owned(), ended)
    }

    /// Reads until the text was received, and returns everything that was not taken as a message; it stays available to
    /// later calls. Panics if the connection closes before.
    pub async fn until(&mut self, text: &str) -> String {
        while !String::from_utf8_lossy(&self.read).contains(text) {
            let length = self.stream.read_buf(&mut self.read).await.unwrap();
            assert!(length > 0, "closed before {text:?}: {:?}", String::from_utf8_lossy(&self.read));
        }
        String::from_utf8_lossy(&self.read).into_owned()
    }

    /// Closes the sending side (a half-close); the receiving side stays open.
    pub async fn ends(&mut self) {
        self.stream.shutdown().await.unwrap();
    }

    /// Closes with a reset (RST), as a peer sees it when the process on the other machine has died.
    pub fn resets(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
    }
}

/// A listening socket on which no connection is established until the test opens it: its accept queue is full, so the
/// kernel drops further connection attempts. A client that tries in the meantime is connected by its retransmitted SYN,
/// about a second after the first.
#[derive(Debug)]
pub struct LatePeer {
    /// The address of the listening socket.
    pub address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl LatePeer {
    /// Listens on a free loopback port and fills the accept queue.
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        // The queue holds one connection more than the backlog. An attempt that is not established at once was dropped.
        loop {
            let connecting = TcpStream::connect(address);
            let deadline = tokio::time::Instant::now() + std::time::Duration::from_millis(60);
            match tokio::time::timeout_at(deadline, connecting).await {
                Ok(stream) => queued.push(stream.unwrap()),
                Err(_) => break,
            }
        }
        Self { address, listener, queued }
    }

    /// Empties the accept queue: from now on connections are established.
    pub async fn opens(self) -> Peer {
        for _ in 0..self.queued.len() {
            drop(self.listener.accept().await.unwrap());
        }
        Peer { address: self.address, listener: self.listener }
    }
}
