//! Fuzz tests of the decoder of the store's responses: it reads what a decoder of whole documents
//! reads, in pieces of any size, and no input makes it panic.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bambooseam_platform::{DocumentKind, Store, StoreError};
use bambooseam_replica::Change;
use bambooseam_tests::inputs::for_each_bytes;
use bambooseam_types::Revision;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

/// Largest number of random bytes that a response is made from.
const LIMIT: usize = 512;

/// Names of fields, of which some occur at several depths.
const NAMES: [&str; 10] = [
    "events",
    "items",
    "key",
    "value",
    "revision",
    "tombstone",
    "current_rev",
    "lease",
    "",
    "é\"\\",
];

/// Three bytes of a value, and their Base64.
const BYTES: [u8; 3] = [0xa5; 3];
const BASE64: &str = "paWl";

/// Keys of documents, one of them of no known kind.
const KEYS: [&str; 4] = ["servers/i-1", "op/config", "op/evacuate/a", "other/é"];

/// Writes a response from random bytes; the same bytes give the same response.
struct Writer<'a> {
    bytes: std::slice::Iter<'a, u8>,
    text: String,
}

/// Name of a field, and what writes its value.
type Field<'f, 'a> = (&'f str, &'f dyn Fn(&mut Writer<'a>));

impl<'a> Writer<'a> {
    /// A number below `limit`; 0 once the bytes are used up.
    fn draw(&mut self, limit: usize) -> usize {
        usize::from(self.bytes.next().copied().unwrap_or_default()) % limit
    }

    fn space(&mut self) {
        let space = ["", "", "", " ", "\n", "\t\r "][self.draw(6)];
        self.text.push_str(space);
    }

    /// Writes a token between spaces.
    fn token(&mut self, token: &str) {
        self.space();
        self.text.push_str(token);
        self.space();
    }

    /// Writes a string, some characters as escapes.
    fn string(&mut self, string: &str) {
        self.text.push('"');
        for char in string.chars() {
            match (self.draw(8), char) {
                (0, _) => self.text.push_str(&format!("\\u{:04x}", u32::from(char))),
                (1, '/') => self.text.push_str("\\/"),
                (_, '"' | '\\') => self.text.extend(['\\', char]),
                _ => self.text.push(char),
            }
        }
        self.text.push('"');
    }

    /// Writes any value, at most `depth` deep.
    fn value(&mut self, depth: usize) {
        match self.draw(if depth == 0 { 5 } else { 8 }) {
            0 => self.text.push_str("null"),
            1 => self.text.push_str("true"),
            2 => self.text.push_str("-1.5e3"),
            3 => self.text.push_str("18446744073709551615"),
            4 => {
                let string = ["", "}]", "[{", "\\\"", "events", "a,b:c"][self.draw(6)];
                self.string(string);
            }
            5 | 6 => {
                let names: Vec<_> = (0..self.draw(4)).map(|at| at.to_string()).collect();
                self.object(names.len(), |writer, at| {
                    let name = [NAMES[writer.draw(NAMES.len())], &names[at]].concat();
                    writer.string(&name);
                    writer.token(":");
                    writer.value(depth - 1);
                });
            }
            _ => {
                let len = self.draw(4);
                self.list(len, |writer, _| writer.value(depth - 1));
            }
        }
    }

    fn object(&mut self, len: usize, field: impl FnMut(&mut Self, usize)) {
        self.sequence(("{", "}"), len, field);
    }

    fn list(&mut self, len: usize, item: impl FnMut(&mut Self, usize)) {
        self.sequence(("[", "]"), len, item);
    }

    fn sequence(
        &mut self,
        (open, close): (&str, &str),
        len: usize,
        mut part: impl FnMut(&mut Self, usize),
    ) {
        self.token(open);
        for at in 0..len {
            if at > 0 {
                self.token(",");
            }
            part(self, at);
        }
        self.token(close);
    }

    /// Writes an object with these fields and others between them, in any order.
    fn fields(&mut self, fields: &[Field<'_, 'a>], others: &[&str]) {
        let mut order: Vec<usize> = (0..fields.len() + others.len()).collect();
        for at in (1..order.len()).rev() {
            order.swap(at, self.draw(at + 1));
        }
        self.object(order.len(), |writer, at| {
            let (name, write) = match fields.get(order[at]) {
                Some((name, write)) => (*name, Some(write)),
                None => (others[order[at] - fields.len()], None),
            };
            writer.string(name);
            writer.token(":");
            match write {
                Some(write) => write(writer),
                None => writer.value(3),
            }
        });
    }

    fn item(&mut self) {
        let key = KEYS[self.draw(KEYS.len())];
        let revision = self.draw(100).to_string();
        let value = BASE64.repeat(self.draw(15));
        let key = |writer: &mut Self| writer.string(key);
        let revision = |writer: &mut Self| writer.text.push_str(&revision);
        let value = |writer: &mut Self| writer.string(&value);
        let tombstone = |writer: &mut Self| writer.text.push_str("true");
        let content: Field<'_, 'a> = match self.draw(3) {
            0 => ("tombstone", &tombstone),
            _ => ("value", &value),
        };
        let others = ["events", "items", "lease", "current_rev"];
        let others = &others[..self.draw(others.len() + 1)];
        self.fields(&[("key", &key), ("revision", &revision), content], others);
    }

    fn response(&mut self) {
        let len = self.draw(5);
        let events = |writer: &mut Self| writer.list(len, |writer, _| writer.item());
        let revision = |writer: &mut Self| writer.text.push_str("77");
        let others = ["items", "key", "value", "", "é\"\\"];
        let others = &others[..self.draw(others.len() + 1)];
        self.space();
        self.fields(&[("events", &events), ("current_rev", &revision)], others);
        self.space();
    }
}

/// A store that answers each request with the present body, in pieces of a size.
struct Server {
    runtime: Runtime,
    store: Store,
    answer: Arc<Mutex<(Vec<u8>, usize)>>,
}

impl Server {
    fn start() -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = { runtime }.enable_all().build().expect("a runtime");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = runtime.block_on(TcpListener::bind(address));
        let listener = listener.expect("a free port");
        let store = Store::new(listener.local_addr().expect("an address"));
        let answer = Arc::new(Mutex::new((Vec::new(), 1)));
        let shared = Arc::clone(&answer);
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond(stream, Arc::clone(&shared)));
            }
        });
        Self {
            runtime,
            store,
            answer,
        }
    }

    /// The changes and the revision that the store's client reads from `body`.
    fn read(&mut self, body: &[u8], piece: usize) -> Result<(Vec<Change>, Revision), StoreError> {
        *self.answer.lock().expect("an answer") = (body.to_vec(), piece);
        let watch = self.store.watch(Revision::from(1), Duration::ZERO);
        let changes = self.runtime.block_on(watch)?;
        Ok((changes.list, changes.upto))
    }
}

/// Answers the requests on one connection, each piece of a body as a chunk.
async fn respond(mut stream: TcpStream, answer: Arc<Mutex<(Vec<u8>, usize)>>) {
    let mut request = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        request.push(byte);
        if !request.ends_with(b"\r\n\r\n") {
            continue;
        }
        request.clear();
        let (body, piece) = answer.lock().expect("an answer").clone();
        let mut response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for chunk in body.chunks(piece) {
            response.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            response.extend(chunk);
            response.extend(b"\r\n");
        }
        response.extend(b"0\r\n\r\n");
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// What a decoder of the whole body reads.
fn read_whole(body: &[u8]) -> Option<(Vec<Change>, Revision)> {
    let response: Value = serde_json::from_slice(body).ok()?;
    let mut list = Vec::new();
    for item in response.get("events")?.as_array()? {
        let key = item.get("key")?.as_str()?;
        let is_removed = item.get("tombstone").and_then(Value::as_bool) == Some(true);
        let text = item.get("value").and_then(Value::as_str);
        let len = text.unwrap_or_default().len() / BASE64.len();
        let value = match DocumentKind::from_key(key) {
            Ok(_) => BYTES.repeat(len),
            Err(_) => Vec::new(),
        };
        list.push(Change {
            key: key.into(),
            revision: item.get("revision")?.as_u64()?.into(),
            value: (!is_removed).then(|| value.into()),
        });
    }
    let upto = response.get("current_rev")?.as_u64()?;
    Some((list, upto.into()))
}

/// A list without its values, which the damage may have changed.
fn outline((list, upto): &(Vec<Change>, Revision)) -> (Vec<(&str, Revision, bool)>, Revision) {
    let changes = list.iter();
    let changes = changes.map(|change| (&*change.key, change.revision, change.value.is_some()));
    (changes.collect(), *upto)
}

fn write(bytes: &[u8]) -> (Vec<u8>, usize) {
    let mut writer = Writer {
        bytes: bytes.iter(),
        text: String::new(),
    };
    let piece = [1, 2, 7, 64, 4_096][writer.draw(5)];
    writer.response();
    (writer.text.into_bytes(), piece)
}

#[test]
fn every_valid_response_is_read_as_a_whole_document_is() {
    let mut server = Server::start();
    let mut changes = 0;
    for_each_bytes(LIMIT, |bytes| {
        let (body, piece) = write(bytes);
        let whole = read_whole(&body).expect("a valid response");
        changes += whole.0.len();
        let text = String::from_utf8_lossy(&body);
        assert_eq!(server.read(&body, piece), Ok(whole), "{text}");
    });
    assert!(changes > 100, "{changes}");
}

/// A response that is damaged is read like a whole document, or refused, or has damage in parts that
/// the decoder skips.
#[test]
fn damaged_responses_are_refused_or_read() {
    let mut server = Server::start();
    let mut refused = 0;
    for_each_bytes(LIMIT, |bytes| {
        let (mut body, piece) = write(bytes);
        let number = |at: usize| usize::from(bytes.get(at).copied().unwrap_or_default());
        let damage = b"{}[]\",:\\ 0e\xff"[number(0) % 12];
        let at = (number(1) << 8 | number(2)) % body.len();
        match number(3) % 3 {
            0 => body[at] = damage,
            1 => body.insert(at, damage),
            _ => body.truncate(at),
        }
        let text = String::from_utf8_lossy(&body).into_owned();
        match (server.read(&body, piece), read_whole(&body)) {
            (read, Some(whole)) => {
                let read = read.unwrap_or_else(|error| panic!("{error}: {text}"));
                assert_eq!(outline(&read), outline(&whole), "{text}");
            }
            (Err(StoreError::InvalidResponse { .. }), None) => refused += 1,
            (Err(error), None) => panic!("{error}: {text}"),
            (Ok(_), None) => {}
        }
    });
    assert!(refused > 100, "{refused}");
}
