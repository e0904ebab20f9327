//! The handshake of a link: each side sends a nonce, and proves in its hello that it knows the
//! shared secret.

use poplarswitch_entity::Incarnation;
use poplarswitch_members::Identity;
use poplarswitch_wire::{FrameError, Greeting, Hello, PROTOCOL, decode, encode};
use sha2::{Digest, Sha256};
use snafu::Snafu;
use subtle::ConstantTimeEq;

/// Why a handshake failed.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub(crate) enum HandshakeError {
    /// A frame cannot be encoded or decoded.
    #[snafu(transparent)]
    Frame {
        /// The cause.
        source: FrameError,
    },
    /// The peer uses another protocol version.
    #[snafu(display("the peer uses protocol version {version}, this VM version {PROTOCOL}"))]
    Protocol {
        /// The peer's protocol version.
        version: u32,
    },
    /// The peer's proof does not match the shared secret.
    #[snafu(display("the peer's proof does not match the shared secret"))]
    Secret,
    /// The peer is this process.
    #[snafu(display("the peer is this process"))]
    SelfLink,
}

/// One side of the handshake.
#[derive(Debug)]
pub(crate) struct Handshake<'a> {
    identity: &'a Identity,
    secret: &'a str,
    nonce: u64,
}

impl<'a> Handshake<'a> {
    pub(crate) fn new(identity: &'a Identity, secret: &'a str) -> Self {
        Self {
            identity,
            secret,
            nonce: rand::random(),
        }
    }

    /// The first frame to send: the protocol version and a nonce.
    pub(crate) fn greeting(&self) -> Result<Vec<u8>, HandshakeError> {
        Ok(encode(&Greeting {
            protocol: PROTOCOL,
            nonce: self.nonce,
        })?)
    }

    /// The frame to send in reply to the peer's greeting: the identity and its proof.
    pub(crate) fn hello(&self, greeting: &[u8]) -> Result<Vec<u8>, HandshakeError> {
        let greeting: Greeting = decode(greeting)?;
        if greeting.protocol != PROTOCOL {
            return ProtocolSnafu {
                version: greeting.protocol,
            }
            .fail();
        }
        let own = self.identity.incarnation;
        Ok(encode(&Hello {
            identity: self.identity.clone(),
            proof: proof(self.secret, greeting.nonce, own),
        })?)
    }

    /// The identity of the peer, if the proof in its hello is valid.
    pub(crate) fn check(&self, hello: &[u8]) -> Result<Identity, HandshakeError> {
        let hello: Hello = decode(hello)?;
        let peer = hello.identity.incarnation;
        let expected = proof(self.secret, self.nonce, peer);
        if !bool::from(expected.ct_eq(&hello.proof)) {
            return SecretSnafu.fail();
        }
        if peer == self.identity.incarnation {
            return SelfLinkSnafu.fail();
        }
        Ok(hello.identity)
    }
}

/// Proves knowledge of the secret to the peer that sent the nonce.
///
/// The digest is hashed again with the secret, which prevents length-extension attacks.
fn proof(secret: &str, nonce: u64, sender: Incarnation) -> Vec<u8> {
    let inner = Sha256::new()
        .chain_update(secret)
        .chain_update(nonce.to_be_bytes())
        .chain_update(sender.0.to_be_bytes())
        .finalize();
    let outer = Sha256::new().chain_update(secret).chain_update(inner);
    outer.finalize().to_vec()
}
