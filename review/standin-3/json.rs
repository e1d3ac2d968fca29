//! A small JSON reader and writer for the stand-ins.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn text(text: impl Into<String>) -> Json {
        Json::Text(text.into())
    }

    pub fn number(number: u64) -> Json {
        Json::Number(number as f64)
    }

    pub fn object(fields: Vec<(&str, Json)>) -> Json {
        Json::Object(fields.into_iter().map(|(name, it)| (name.to_owned(), it)).collect())
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(it, _)| it == name).map(|(_, it)| it),
            _ => None,
        }
    }

    pub fn u64(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(it)) => *it as u64,
            _ => 0,
        }
    }

    pub fn str(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(it)) => it,
            _ => "",
        }
    }

    /// Parses a whole text; returns `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let res = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(res)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(it) => write!(f, "{it}"),
            Json::Number(it) => write!(f, "{it}"),
            Json::Text(it) => write_text(f, it),
            Json::List(list) => {
                write!(f, "[")?;
                for (index, it) in list.iter().enumerate() {
                    write!(f, "{}{it}", if index == 0 { "" } else { "," })?;
                }
                write!(f, "]")
            }
            Json::Object(fields) => {
                write!(f, "{{")?;
                for (index, (name, it)) in fields.iter().enumerate() {
                    write!(f, "{}", if index == 0 { "" } else { "," })?;
                    write_text(f, name)?;
                    write!(f, ":{it}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(f, "\"")?;
    for it in text.chars() {
        match it {
            '"' => write!(f, "\\\"")?,
            '\\' => write!(f, "\\\\")?,
            it if (it as u32) < 32 => write!(f, "\\u{:04x}", it as u32)?,
            it => write!(f, "{it}")?,
        }
    }
    write!(f, "\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let res = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(res);
        res
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_there = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_there.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        let mut fields = Vec::new();
        self.at += 1;
        if self.take(b'}') {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            if !self.take(b':') {
                return None;
            }
            fields.push((name, self.value()?));
            if self.take(b'}') {
                return Some(Json::Object(fields));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        let mut list = Vec::new();
        self.at += 1;
        if self.take(b']') {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take(b']') {
                return Some(Json::List(list));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut res = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(res).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => res.push(b'\n'),
                        b't' => res.push(b'\t'),
                        b'r' => res.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let it = char::from_u32(code.ok()?)?;
                            res.extend_from_slice(it.to_string().as_bytes());
                        }
                        it => res.push(it),
                    }
                }
                it => res.push(it),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |it: &u8| it.is_ascii_digit() || b"+-.eE".contains(it);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}
