package io.sapphirestack.runtime.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Mutual challenge-response authentication: each side proves that it knows the cluster key without
 * sending it.
 *
 * <p>The accepting side sends a header and a nonce S. The connecting side responds with a nonce C
 * and HMAC-SHA-256 over the label {@code client}, S and C. The accepting side responds with
 * HMAC-SHA-256 over the label {@code server}, C and S. The labels prevent a reflection attack, in
 * which a peer sends a side's own proof back to it. Each of the three messages is one frame.
 * Thread-safe.
 */
final class PeerHandshake {

    /** Largest frame of a handshake; limits the memory that an unauthenticated peer can claim. */
    static final int MAX_FRAME_BYTES = 256;

    private static final byte[] HEADER = "SAPPHIRE1".getBytes(StandardCharsets.US_ASCII);
    private static final int NONCE_BYTES = 32;
    private static final int MAC_BYTES = 32;

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    PeerHandshake(String clusterKey) {
        this.key = new SecretKeySpec(clusterKey.getBytes(StandardCharsets.UTF_8), "HmacSHA256");
    }

    byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    byte[] hello(byte[] serverNonce) {
        return frame(HEADER, serverNonce);
    }

    byte[] readHello(byte[] payload, String peer) throws TransportException {
        if (payload.length != HEADER.length + NONCE_BYTES
                || !Arrays.equals(payload, 0, HEADER.length, HEADER, 0, HEADER.length)) {
            throw handshakeFailure(peer, "the peer does not send the header of this protocol");
        }
        return Arrays.copyOfRange(payload, HEADER.length, payload.length);
    }

    byte[] clientProof(byte[] serverNonce, byte[] clientNonce) {
        return frame(clientNonce, mac("client", serverNonce, clientNonce));
    }

    /** Verifies the proof of the connecting side and returns its nonce. */
    byte[] verifyClientProof(byte[] payload, byte[] serverNonce, String peer)
            throws TransportException {
        if (payload.length != NONCE_BYTES + MAC_BYTES) {
            throw handshakeFailure(
                    peer, "the length of the peer's proof does not match the protocol");
        }
        byte[] clientNonce = Arrays.copyOf(payload, NONCE_BYTES);
        byte[] given = Arrays.copyOfRange(payload, NONCE_BYTES, payload.length);
        if (!MessageDigest.isEqual(given, mac("client", serverNonce, clientNonce))) {
            throw handshakeFailure(peer, "the peer uses another cluster key");
        }
        return clientNonce;
    }

    byte[] serverProof(byte[] serverNonce, byte[] clientNonce) {
        return frame(mac("server", clientNonce, serverNonce));
    }

    void verifyServerProof(byte[] payload, byte[] serverNonce, byte[] clientNonce, String peer)
            throws TransportException {
        if (!MessageDigest.isEqual(payload, mac("server", clientNonce, serverNonce))) {
            throw handshakeFailure(peer, "the peer uses another cluster key");
        }
    }

    private byte[] mac(String label, byte[] first, byte[] second) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(key);
            mac.update(label.getBytes(StandardCharsets.US_ASCII));
            mac.update(first);
            return mac.doFinal(second);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform supports HmacSHA256", e);
        }
    }

    private static byte[] frame(byte[]... parts) {
        int length = Arrays.stream(parts).mapToInt(part -> part.length).sum();
        ByteBuffer frame = ByteBuffer.allocate(Integer.BYTES + length).putInt(length);
        for (byte[] part : parts) {
            frame.put(part);
        }
        return frame.array();
    }

    private static TransportException handshakeFailure(String peer, String message) {
        return new TransportException("handshake", peer, message, false, null);
    }
}
