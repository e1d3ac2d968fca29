//! Frames: a length and a `bincode` body.

use std::fmt;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

const LENGTH_BYTES: usize = 4;

/// Why a frame was rejected; its connection is then closed.
#[derive(Clone, Debug, PartialEq)]
pub enum FrameError {
    TooLarge { bytes: usize, max_bytes: usize },
    Undecodable(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLarge { bytes, max_bytes } => {
                write!(f, "frame of {bytes} bytes exceeds the limit of {max_bytes} bytes")
            }
            FrameError::Undecodable(why) => write!(f, "frame cannot be decoded: {why}"),
        }
    }
}

/// Encodes one frame.
///
/// # Errors
///
/// Returns an error when the frame is larger than `max_bytes`.
pub fn encode_frame<T: Serialize>(message: &T, max_bytes: usize) -> Result<Bytes, FrameError> {
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|it| FrameError::Undecodable(it.to_string()))?;
    if max_bytes < body.len() {
        return Err(FrameError::TooLarge { bytes: body.len(), max_bytes });
    }
    let mut res = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    res.put_u32_le(body.len() as u32);
    res.put_slice(&body);
    Ok(res.freeze())
}

/// Splits a byte stream into frames.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: BytesMut,
    max_bytes: usize,
}

impl FrameDecoder {
    /// Creates a decoder that accepts frames of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> FrameDecoder {
        FrameDecoder { buffer: BytesMut::new(), max_bytes }
    }

    /// Accepts frames of at most `max_bytes` from now on.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the size of the next frame if it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error when the frame is too large.
    pub fn next_frame_bytes(&self) -> Result<Option<usize>, FrameError> {
        let Some(length) = self.buffer.get(..LENGTH_BYTES).and_then(|it| it.try_into().ok()) else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(length) as usize;
        if self.max_bytes < length {
            return Err(FrameError::TooLarge { bytes: length, max_bytes: self.max_bytes });
        }
        Ok((LENGTH_BYTES + length <= self.buffer.len()).then_some(length))
    }

    /// Returns the next complete frame, or `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// Returns an error when the frame is too large, cannot be decoded as a `T`, or has excess bytes.
    pub fn next_frame<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let Some(length) = self.next_frame_bytes()? else { return Ok(None) };
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(length);
        let decoded = bincode::serde::decode_from_slice(&body, bincode::config::standard());
        match decoded {
            Ok((it, decoded_bytes)) if decoded_bytes == length => Ok(Some(it)),
            Ok((_, decoded_bytes)) => Err(FrameError::Undecodable(format!(
                "{} excess bytes after the message",
                length - decoded_bytes
            ))),
            Err(it) => Err(FrameError::Undecodable(it.to_string())),
        }
    }
}
