package io.sapphirestack.runtime.transport;

/** Completes calls from the frames that answer them; runs on a handler thread. */
final class PeerReplies {

    private PeerReplies() {}

    static <R> void complete(OutboundChannel.PendingCall<R> call, PeerFrame frame, String peer) {
        try {
            if (frame.kind() == PeerFrame.ERROR) {
                PeerError error = PeerCodec.SHARED.read(frame.body(), PeerError.class, peer);
                call.result()
                        .completeExceptionally(
                                new TransportException(
                                        error.step(), peer, error.message(), true, null));
            } else {
                call.result().complete(PeerCodec.SHARED.read(frame.body(), call.replyType(), peer));
            }
        } catch (TransportException e) {
            call.result().completeExceptionally(e);
        }
    }
}
