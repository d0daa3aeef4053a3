//! Bodies of requests, kept in the parts in which they were received.

use std::fmt;
use std::rc::Rc;
use std::slice;

use bytes::Bytes;
use bytes::BytesMut;

use crate::budget::Charge;

/// A complete body without chunk headers. Clones share its bytes, and the memory that its request is
/// charged.
#[derive(Clone, Default)]
pub struct Body {
    parts: Parts,
    len: usize,
    /// Memory of the request, given back with the last clone.
    charge: Option<Rc<Charge>>,
}

#[derive(Clone)]
enum Parts {
    One(Bytes),
    Many(Rc<[Bytes]>),
}

impl Default for Parts {
    fn default() -> Self {
        Self::One(Bytes::new())
    }
}

impl Body {
    pub(crate) fn from_parts(mut parts: Vec<Bytes>) -> Self {
        let len = parts.iter().map(Bytes::len).sum();
        let parts = match parts.len() {
            0 | 1 => Parts::One(parts.pop().unwrap_or_default()),
            _ => Parts::Many(parts.into()),
        };
        Self {
            parts,
            len,
            charge: None,
        }
    }

    /// Keeps the memory of the request charged as long as this body or a clone exists.
    pub(crate) fn with_charge(mut self, charge: Charge) -> Self {
        self.charge = Some(Rc::new(charge));
        self
    }

    /// Length in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no byte.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the parts in order.
    #[must_use]
    pub fn parts(&self) -> &[Bytes] {
        match &self.parts {
            Parts::One(part) => slice::from_ref(part),
            Parts::Many(parts) => parts,
        }
    }

    /// Returns the body in one piece; one of several parts is copied.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match &self.parts {
            Parts::One(part) => part.clone(),
            Parts::Many(parts) => {
                let mut buf = BytesMut::with_capacity(self.len);
                parts.iter().for_each(|part| buf.extend_from_slice(part));
                buf.freeze()
            }
        }
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Body({} bytes)", self.len)
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::from_parts(vec![bytes])
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Bytes::from(bytes).into()
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Bytes::from(text).into()
    }
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Self {
        Bytes::from(text).into()
    }
}

impl From<&'static [u8]> for Body {
    fn from(bytes: &'static [u8]) -> Self {
        Bytes::from(bytes).into()
    }
}
