//! Count of the interim responses before a response.

/// Begin of an interim response. Dots stand for any byte.
const BEGIN: &[u8] = b"HTTP/1.. 1";
/// End of a head.
const END: &[u8] = b"\r\n\r\n";

/// Counts the interim responses (1xx) before a response while its bytes arrive in parts.
///
/// The HTTP library parses and drops them one by one, however many there are, and serves
/// nobody else meanwhile.
#[derive(Debug, Default)]
pub struct InterimCounter {
    count: usize,
    /// Whether the final response has begun.
    is_final: bool,
    /// Whether the begin of an interim response has been read, and its end has not.
    is_inside: bool,
    /// Number of bytes of the begin or the end that have been read.
    matched_bytes: usize,
}

impl InterimCounter {
    /// Takes in the next bytes. Returns the number of interim responses that have been read.
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        for byte in bytes {
            if self.is_final {
                break;
            }
            if self.is_inside {
                self.match_end(*byte);
            } else {
                self.match_begin(*byte);
            }
        }
        self.count
    }

    fn match_begin(&mut self, byte: u8) {
        let expected = BEGIN[self.matched_bytes];
        if expected != b'.' && expected != byte {
            self.is_final = true;
            return;
        }
        self.matched_bytes += 1;
        if self.matched_bytes == BEGIN.len() {
            self.is_inside = true;
            self.matched_bytes = 0;
        }
    }

    fn match_end(&mut self, byte: u8) {
        self.matched_bytes = match byte {
            byte if byte == END[self.matched_bytes] => self.matched_bytes + 1,
            b'\r' => 1,
            _ => 0,
        };
        if self.matched_bytes == END.len() {
            self.count += 1;
            self.is_inside = false;
            self.matched_bytes = 0;
        }
    }
}
