//! An HTTP client that opens a new connection for each call.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// The time without data after which reading an answer ends.
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct Call {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// An HTTP response, read until its connection closed or a read timed out.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status; zero if the connection ended within or before the head.
    pub status: u16,
    /// The status line and the headers.
    pub head: String,
    /// The body, decoded if it was chunked.
    pub body: String,
    /// Whether the body has its declared length or its last chunk; true if the head declares
    /// neither.
    pub complete: bool,
}

impl Call {
    /// Creates a GET request without a body.
    pub fn get(path: &str) -> Self {
        Self {
            method: "GET".into(),
            path: path.into(),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    /// Creates a HEAD request.
    pub fn head(path: &str) -> Self {
        Self {
            method: "HEAD".into(),
            ..Self::get(path)
        }
    }

    /// Creates a POST request with a body.
    pub fn post(path: &str, body: impl Into<String>) -> Self {
        let call = Self::get(path);
        Self {
            method: "POST".into(),
            body: body.into(),
            ..call
        }
    }

    /// Creates a chat completion request for at most `tokens` tokens.
    pub fn chat(model: &str, prompt: &str, tokens: u32, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": model,
            "max_tokens": tokens,
            "stream": stream,
            "messages": [{"role": "user", "content": prompt}],
        });
        Self::post("/v1/chat/completions", body.to_string())
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Adds a workspace key or an operator's token as bearer token.
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sends the request on a new connection and returns the connection without reading.
    pub fn open(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let mut stream = connect(address)?;
        self.write(&mut stream, address)?;
        Ok(stream)
    }

    fn write(&self, stream: &mut TcpStream, address: SocketAddr) -> std::io::Result<()> {
        let mut lines = vec![format!("{} {} HTTP/1.1", self.method, self.path)];
        lines.push(format!("host: {address}"));
        lines.push("connection: close".to_owned());
        lines.push(format!("content-length: {}", self.body.len()));
        lines.extend(
            self.headers
                .iter()
                .map(|(name, value)| format!("{name}: {value}")),
        );
        let head = lines.join("\r\n") + "\r\n\r\n";
        stream.write_all(head.as_bytes())?;
        stream.write_all(self.body.as_bytes())
    }

    /// Sends the request from a new thread, so that several calls run concurrently.
    pub fn start(&self, address: SocketAddr) -> PendingCall {
        let call = self.clone();
        PendingCall(thread::spawn(move || call.send(address)))
    }

    /// Sends the request and reads the answer until the connection closes.
    ///
    /// A server may answer and close before it has read the whole body, which makes sending fail.
    /// The answer is therefore read in that case too; it is empty if the server did not send one.
    pub fn send(&self, address: SocketAddr) -> Answer {
        let Ok(mut stream) = connect(address) else {
            return Answer::default();
        };
        let _ = self.write(&mut stream, address);
        Answer::read(stream)
    }
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(stream)
}

/// A call that runs in its own thread.
#[derive(Debug)]
pub struct PendingCall(thread::JoinHandle<Answer>);

impl PendingCall {
    /// Waits for the answer.
    pub fn answer(self) -> Answer {
        self.0.join().expect("a caller does not panic")
    }

    /// Returns whether the call has ended.
    pub fn has_ended(&self) -> bool {
        self.0.is_finished()
    }
}

/// Waits for the answers of several calls.
pub fn answers(calls: Vec<PendingCall>) -> Vec<Answer> {
    calls.into_iter().map(PendingCall::answer).collect()
}

impl Answer {
    /// Reads an answer until the connection closes.
    pub fn read(mut stream: TcpStream) -> Self {
        let mut bytes = Vec::new();
        // After a connection error or a timeout, the bytes read so far are parsed.
        let _ = stream.read_to_end(&mut bytes);
        Self::parse(&String::from_utf8_lossy(&bytes))
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the body as JSON; null if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the request identifier; empty if the header is absent.
    pub fn request_id(&self) -> String {
        self.header("x-borageladder-request")
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the text that an engine generated, streamed or not.
    pub fn text(&self) -> String {
        let events = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let parts = events.filter_map(|data| {
            let value: serde_json::Value = serde_json::from_str(data).ok()?;
            let text = value["choices"][0]["delta"]["content"].as_str()?;
            Some(text.to_owned())
        });
        let streamed: String = parts.collect();
        if streamed.is_empty() {
            let content = &self.json()["choices"][0]["message"]["content"];
            return content.as_str().unwrap_or_default().to_owned();
        }
        streamed
    }

    /// Returns whether this is a complete streamed answer with status 200 that ends with `[DONE]`.
    pub fn is_complete_stream(&self) -> bool {
        self.complete && self.status == 200 && self.body.ends_with("data: [DONE]\n\n")
    }

    /// Fails the test if an engine's answer contains a token of another request or tokens out of
    /// order.
    pub fn assert_own_tokens(&self) {
        let request = self.request_id();
        for (index, word) in self.text().split_whitespace().enumerate() {
            assert_eq!(word, format!("{request}:{}", index + 1), "{}", self.body);
        }
    }

    /// Returns the error code in the body; empty if there is none.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the `ran` field of the error in the body; empty if there is none.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    fn parse(text: &str) -> Self {
        let Some((head, rest)) = text.split_once("\r\n\r\n") else {
            return Self::default();
        };
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let mut answer = Self {
            status: status.unwrap_or(0),
            head: head.to_owned(),
            ..Self::default()
        };
        let chunked = answer.header("transfer-encoding") == Some("chunked");
        let length: Option<usize> = answer
            .header("content-length")
            .and_then(|length| length.parse().ok());
        (answer.body, answer.complete) = match length {
            _ if chunked => join_chunks(rest),
            Some(length) => (rest.to_owned(), rest.len() == length),
            None => (rest.to_owned(), true),
        };
        answer
    }
}

fn join_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, tail)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = tail.get(..size) else { break };
        body.push_str(chunk);
        rest = tail.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
