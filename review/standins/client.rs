//! A stand-in of the callers, each with a connection that it keeps.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{read_chunk, read_head, Message};

/// How a request ended, as its caller sees it.
#[derive(Debug)]
pub enum Outcome {
    /// The whole answer.
    Answer(Message),
    /// A stream that ended completely, with its events.
    Stream(Vec<String>),
    /// A stream that was cut, with the events so far.
    Cut(Vec<String>),
    /// The connection was closed before the first byte of an answer.
    Closed,
    /// No connection could be opened.
    Unreached,
}

/// A caller.
pub struct Client {
    node: SocketAddr,
    reader: Option<BufReader<TcpStream>>,
    /// Requests that were answered on the open connection.
    answered: u64,
}

impl Client {
    /// Returns a caller of a node.
    pub fn new(node: SocketAddr) -> Client {
        Client {
            node,
            reader: None,
            answered: 0,
        }
    }

    /// Returns whether its connection has carried an answer before.
    pub fn is_kept(&self) -> bool {
        self.reader.is_some() && self.answered > 0
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, request: &[u8]) -> Outcome {
        if self.reader.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&self.node, Duration::from_secs(1)) else {
                return Outcome::Unreached;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
            self.answered = 0;
            self.reader = Some(BufReader::new(stream));
        }
        let reader = self.reader.as_mut().unwrap();
        let outcome = match reader.get_mut().write_all(request) {
            Ok(()) => read_answer(reader),
            Err(_) => Outcome::Closed,
        };
        let keeps = match &outcome {
            Outcome::Answer(answer) => answer.header("connection") != Some("close"),
            Outcome::Stream(_) => true,
            _ => false,
        };
        self.answered += 1;
        if !keeps {
            self.reader = None;
        }
        outcome
    }
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> Outcome {
    let head = match read_head(reader) {
        Ok(Some(head)) => head,
        _ => return Outcome::Closed,
    };
    if head.header("content-type") == Some("text/event-stream") {
        return read_stream(reader);
    }
    read_rest(reader, head).map_or(Outcome::Cut(Vec::new()), Outcome::Answer)
}

fn read_rest(reader: &mut BufReader<TcpStream>, mut head: Message) -> io::Result<Message> {
    if head.header("transfer-encoding") == Some("chunked") {
        while let Some(mut chunk) = read_chunk(reader)? {
            head.body.append(&mut chunk);
        }
        return Ok(head);
    }
    let length = head
        .header("content-length")
        .and_then(|length| length.parse().ok());
    head.body = vec![0; length.unwrap_or(0)];
    io::Read::read_exact(reader, &mut head.body)?;
    Ok(head)
}

fn read_stream(reader: &mut BufReader<TcpStream>) -> Outcome {
    let mut text = String::new();
    let whole = loop {
        match read_chunk(reader) {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let events = text.split("\n\n").filter(|event| !event.is_empty());
    let events = events.map(str::to_owned).collect();
    if whole {
        Outcome::Stream(events)
    } else {
        Outcome::Cut(events)
    }
}
