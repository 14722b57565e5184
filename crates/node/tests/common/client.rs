//! Minimal HTTP/1.1 client that detects truncated responses.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net;

use super::HANG_LIMIT;

/// Response, possibly truncated.
#[derive(Debug, Default)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Whether the body was received up to its announced end.
    pub(crate) complete: bool,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    pub(crate) fn outcome(&self) -> &str {
        self.header("redwing-outcome").unwrap_or("none")
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the name at the end of the problem type.
    pub(crate) fn problem(&self) -> String {
        let document: serde_json::Value = serde_json::from_slice(&self.body).unwrap();
        let kind = document["type"].as_str().unwrap().to_owned();
        kind.strip_prefix("urn:redwinglb:problem:")
            .unwrap()
            .to_owned()
    }
}

/// Request to an entry process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) chunked: bool,
}

impl Request {
    pub(crate) fn post(queue: &str, body: impl Into<Vec<u8>>) -> Self {
        Self {
            method: "POST",
            path: format!("/v1/queues/{queue}/requests"),
            body: body.into(),
            ..Self::default()
        }
    }

    pub(crate) fn get(path: &str) -> Self {
        Self {
            method: "GET",
            path: path.to_owned(),
            ..Self::default()
        }
    }

    pub(crate) fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub(crate) fn key(self, secret: &str) -> Self {
        self.header("Authorization", &format!("Bearer {secret}"))
    }

    pub(crate) fn chunked(mut self) -> Self {
        self.chunked = true;
        self
    }

    pub(crate) fn head(&self) -> String {
        let mut head = format!("{} {} HTTP/1.1\r\nHost: test\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        match (self.chunked, self.body.is_empty()) {
            (true, _) => head.push_str("Transfer-Encoding: chunked\r\n"),
            (false, false) => head.push_str(&format!("Content-Length: {}\r\n", self.body.len())),
            (false, true) => {}
        }
        head + "\r\n"
    }

    /// Sends the request on a new connection and reads the response.
    pub(crate) fn send(&self, address: net::SocketAddr) -> io::Result<Response> {
        let stream = connect(address)?;
        let mut sender = stream.try_clone()?;
        let request = self.clone();
        // The response may arrive before the whole body is sent.
        let sending = std::thread::spawn(move || request.write(&mut sender));
        let response = read_response(&mut BufReader::new(stream));
        drop(sending);
        response
    }

    pub(crate) fn write(&self, stream: &mut net::TcpStream) -> io::Result<()> {
        stream.write_all(self.head().as_bytes())?;
        if !self.chunked {
            return stream.write_all(&self.body);
        }
        for chunk in self.body.chunks(64 * 1024) {
            stream.write_all(format!("{:x}\r\n", chunk.len()).as_bytes())?;
            stream.write_all(chunk)?;
            stream.write_all(b"\r\n")?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

pub(crate) fn connect(address: net::SocketAddr) -> io::Result<net::TcpStream> {
    let stream = net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(HANG_LIMIT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads one response; fails if its head is incomplete.
pub(crate) fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    let mut response = read_head(reader)?;
    while response.status == 100 {
        response = read_head(reader)?;
    }
    if response.header("transfer-encoding") == Some("chunked") {
        response.complete = read_chunks(reader, &mut response.body).is_ok();
        return Ok(response);
    }
    let length = response.header("content-length").unwrap_or("0");
    let length: u64 = length.parse().map_err(io::Error::other)?;
    let mut body = Vec::new();
    let _ = reader.take(length).read_to_end(&mut body);
    response.complete = body.len() as u64 == length;
    response.body = body;
    Ok(response)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    if !line.ends_with("\r\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.len() - 2);
    Ok(line)
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Response> {
    let first = read_line(reader)?;
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
    let mut response = Response {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        ..Response::default()
    };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(response);
        };
        let header = (name.to_lowercase(), value.trim().to_owned());
        response.headers.push(header);
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = u64::from_str_radix(&line, 16).map_err(io::Error::other)?;
        let before = body.len();
        reader.by_ref().take(size).read_to_end(body)?;
        if (body.len() - before) as u64 != size {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        read_line(reader)?;
        if size == 0 {
            return Ok(());
        }
    }
}
