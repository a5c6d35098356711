package io.sapphirestack.runtime.transport;

/** Completes pending calls with the content of their reply frames, on a handler thread. */
final class PeerReplyCompleter {

    private PeerReplyCompleter() {}

    static <R> void complete(OutboundChannel.PendingCall<R> call, PeerFrame frame, String peer) {
        try {
            if (frame.kind() == PeerFrame.ERROR) {
                PeerError error = PeerCodec.SHARED.decodeBody(frame.body(), PeerError.class, peer);
                call.result()
                        .completeExceptionally(
                                new TransportException(
                                        error.step(), peer, error.message(), true, null));
            } else {
                call.result()
                        .complete(
                                PeerCodec.SHARED.decodeBody(frame.body(), call.replyType(), peer));
            }
        } catch (TransportException e) {
            call.result().completeExceptionally(e);
        }
    }
}
