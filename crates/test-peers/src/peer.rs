//! A peer whose every step is the test's: it accepts, reads, writes and closes when told, so that a test forces the
//! order of two events that may cross.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::http::{field, message};

/// Listens; each connection is taken when the test asks for it.
#[derive(Debug)]
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
}

impl Peer {
    /// Starts on a port that the system picks.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self { address: listener.local_addr().unwrap(), listener }
    }

    /// The next connection.
    pub async fn accept(&self) -> Line {
        Line { stream: self.listener.accept().await.unwrap().0, read: Vec::new() }
    }

    /// The next connection with the first message on it.
    pub async fn asked(&self) -> (Line, Message) {
        let mut line = self.accept().await;
        let asked = line.message().await.expect("a message");
        (line, asked)
    }
}

/// A message that came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its head, without the blank line.
    pub head: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }
}

/// A connection, from either side.
#[derive(Debug)]
pub struct Line {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Line {
    /// Connects to an address.
    pub async fn to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self { stream, read: Vec::new() }
    }

    /// The next whole message with its body by length; `None` where the other side ends or resets before.
    pub async fn message(&mut self) -> Option<Message> {
        let (head, body) = message(&mut self.stream, &mut self.read).await?;
        Some(Message { head, body })
    }

    /// Writes these bytes; an error is the other side's reset.
    ///
    /// # Errors
    /// What the system says.
    pub async fn says(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Reads until the other side ends (`Ok`) or resets: all that was not taken as a message.
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

    /// Reads until this has come.
    pub async fn until(&mut self, text: &str) -> String {
        while !String::from_utf8_lossy(&self.read).contains(text) {
            let length = self.stream.read_buf(&mut self.read).await.unwrap();
            assert!(length > 0, "it ended before {text:?}: {:?}", String::from_utf8_lossy(&self.read));
        }
        String::from_utf8_lossy(&self.read).into_owned()
    }

    /// Ends its own sending, and can still read.
    pub async fn ends(&mut self) {
        self.stream.shutdown().await.unwrap();
    }

    /// Closes with a reset, as the machine of a process that has died does.
    pub fn resets(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
    }
}

/// Listens, but no connection comes up until the test opens it: the queue of those that wait to be accepted is full, and
/// the system drops every further attempt. One that tries meanwhile comes up with its next try, about a second after
/// its first.
#[derive(Debug)]
pub struct LatePeer {
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    waiting: Vec<TcpStream>,
}

impl LatePeer {
    /// Starts on a port that the system picks.
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut waiting = Vec::new();
        // The queue holds one more than it is told to; a connection that is not there at once will not come.
        loop {
            let connecting = TcpStream::connect(address);
            let soon = tokio::time::Instant::now() + std::time::Duration::from_millis(60);
            match tokio::time::timeout_at(soon, connecting).await {
                Ok(stream) => waiting.push(stream.unwrap()),
                Err(_) => break,
            }
        }
        Self { address, listener, waiting }
    }

    /// From now on connections come up.
    pub async fn opens(self) -> Peer {
        for _ in 0..self.waiting.len() {
            drop(self.listener.accept().await.unwrap());
        }
        Peer { address: self.address, listener: self.listener }
    }
}
