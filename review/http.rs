//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// Whether the body was read to the end that its framing states.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, time: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, time).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                body.append(&mut self.buffer);
                return Ok(false);
            }
        }
        body.extend(self.buffer.drain(..length));
        Ok(true)
    }

    /// Reads the start line and the headers; `None` if the connection ends before.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    let value = value.trim().to_owned();
                    message.headers.push((name.to_ascii_lowercase(), value));
                }
            }
        }
    }

    /// Reads a message with its body; `None` if the connection ends before its head.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        if message.header("transfer-encoding").is_some() {
            message.complete = self.read_chunks(&mut message.body).unwrap_or(false);
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.complete = self.take(length, &mut message.body).unwrap_or(false);
        } else {
            message.complete = true;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else {
                return Ok(false);
            };
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(false);
            };
            if !self.take(length, body)? || self.line()?.is_none() {
                return Ok(false);
            }
            if length == 0 {
                return Ok(true);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Serves each connection of a listener on a thread of its own.
pub fn serve(listener: TcpListener, serve: impl Fn(Connection) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
}

/// Returns a listener on a free loopback port, and its address.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}
