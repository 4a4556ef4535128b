//! An HTTP client that reuses one keep-alive connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use crate::harness::KEY;

/// A keep-alive connection for sequential calls.
pub struct KeepAliveConnection {
    reader: BufReader<TcpStream>,
}

impl KeepAliveConnection {
    /// Opens a connection.
    pub fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the server accepts");
        stream.set_nodelay(true).expect("the option can be set");
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Sends a GET request and reads its answer; panics if the status is not 200.
    pub fn get(&mut self, path: &str) {
        let call = format!("GET {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\r\n");
        self.reader
            .get_mut()
            .write_all(call.as_bytes())
            .expect("the call can be written");
        let status = self.read_header_line();
        let mut length = 0;
        loop {
            let line = self.read_header_line().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length is a number");
            }
        }
        let mut body = vec![0; length];
        self.reader
            .read_exact(&mut body)
            .expect("the body is complete");
        assert!(
            status.contains(" 200 "),
            "{status}: {}",
            String::from_utf8_lossy(&body)
        );
    }

    fn read_header_line(&mut self) -> String {
        let mut line = String::new();
        self.reader
            .read_line(&mut line)
            .expect("the answer is text");
        line.trim_end().to_owned()
    }
}
