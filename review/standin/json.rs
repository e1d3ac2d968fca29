//! A small JSON reader and writer.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let res = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(res)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(it) => it.get(key),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(it) => Some(it),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(it) => Some(*it as u64),
            _ => None,
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut res = String::from("\"");
    for it in text.chars() {
        match it {
            '"' => res.push_str("\\\""),
            '\\' => res.push_str("\\\\"),
            it if (it as u32) < 0x20 => res.push_str(&format!("\\u{:04x}", it as u32)),
            it => res.push(it),
        }
    }
    res.push('"');
    res
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.map(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let begin = self.at;
        while self.bytes.get(self.at).is_some_and(|it| b"+-.0123456789eE".contains(it)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[begin..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut res = Vec::new();
        loop {
            let it = *self.bytes.get(self.at)?;
            self.at += 1;
            match it {
                b'"' => return String::from_utf8(res).ok(),
                b'\\' => {
                    let code = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let it = match code {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        it => it as char,
                    };
                    res.extend(it.to_string().into_bytes());
                }
                it => res.push(it),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut res = Vec::new();
        self.space();
        if self.take("]").is_some() {
            return Some(Json::List(res));
        }
        loop {
            res.push(self.value()?);
            self.space();
            if self.take("]").is_some() {
                return Some(Json::List(res));
            }
            self.take(",")?;
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut res = BTreeMap::new();
        self.space();
        if self.take("}").is_some() {
            return Some(Json::Map(res));
        }
        loop {
            self.space();
            let key = self.string()?;
            self.space();
            self.take(":")?;
            res.insert(key, self.value()?);
            self.space();
            if self.take("}").is_some() {
                return Some(Json::Map(res));
            }
            self.take(",")?;
        }
    }
}
