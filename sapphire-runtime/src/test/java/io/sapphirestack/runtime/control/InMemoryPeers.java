package io.sapphirestack.runtime.control;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.sapphirestack.runtime.transport.PeerHandler;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TransportException;
import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * In-memory transport between services in one process. Requests and replies are encoded and decoded
 * with MessagePack as on the network, and addresses can be isolated.
 */
final class InMemoryPeers implements AutoCloseable {

    private final ObjectMapper mapper =
            new ObjectMapper(new MessagePackFactory())
                    .registerModule(new Jdk8Module())
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    private final Map<String, Map<Class<?>, PeerHandler<?, ?>>> handlers =
            new ConcurrentHashMap<>();
    private final Set<String> isolated = ConcurrentHashMap.newKeySet();

    /** A single thread, so that requests between two addresses are delivered in order. */
    private final ExecutorService deliveryExecutor = Executors.newSingleThreadExecutor();

    PeerHandlerRegistry registry(String address) {
        Map<Class<?>, PeerHandler<?, ?>> ownHandlers = new ConcurrentHashMap<>();
        handlers.put(address, ownHandlers);
        return new PeerHandlerRegistry() {
            @Override
            public <Q extends PeerRequest<R>, R> void register(
                    Class<Q> type, PeerHandler<Q, R> handler) {
                ownHandlers.put(type, handler);
            }
        };
    }

    PeerTransport transport(String from) {
        return new PeerTransport() {
            @Override
            public <R> CompletableFuture<R> call(
                    String address, PeerRequest<R> request, long timeoutMs) {
                return send(from, address, request, timeoutMs);
            }
        };
    }

    void isolate(String address) {
        isolated.add(address);
    }

    void reconnect(String address) {
        isolated.remove(address);
    }

    @Override
    public void close() {
        deliveryExecutor.shutdownNow();
    }

    private <R> CompletableFuture<R> send(
            String from, String to, PeerRequest<R> request, long timeoutMs) {
        CompletableFuture<R> result = new CompletableFuture<>();
        result.orTimeout(timeoutMs, TimeUnit.MILLISECONDS);
        deliveryExecutor.execute(() -> deliver(from, to, request, result));
        return result;
    }

    private <R> void deliver(
            String from, String to, PeerRequest<R> request, CompletableFuture<R> result) {
        if (isDisconnected(from, to)) {
            return;
        }
        Map<Class<?>, PeerHandler<?, ?>> ownHandlers = handlers.get(to);
        if (ownHandlers == null || !ownHandlers.containsKey(request.getClass())) {
            result.completeExceptionally(
                    new TransportException("connect", to, "refused", false, null));
            return;
        }
        try {
            handle(ownHandlers.get(request.getClass()), request)
                    .whenComplete(
                            (reply, failure) -> {
                                if (isDisconnected(from, to)) {
                                    return;
                                }
                                if (failure != null) {
                                    result.completeExceptionally(failure);
                                } else {
                                    deliveryExecutor.execute(
                                            () -> result.complete(copyReply(request, reply)));
                                }
                            });
        } catch (IOException e) {
            result.completeExceptionally(e);
        }
    }

    private boolean isDisconnected(String from, String to) {
        return !from.equals(to) && (isolated.contains(from) || isolated.contains(to));
    }

    @SuppressWarnings("unchecked")
    private <R> CompletableFuture<R> handle(PeerHandler<?, ?> handler, PeerRequest<R> request)
            throws IOException {
        PeerRequest<R> copy =
                mapper.readValue(mapper.writeValueAsBytes(request), request.getClass());
        return ((PeerHandler<PeerRequest<R>, R>) handler).handle(copy);
    }

    @SuppressWarnings("unchecked")
    private <R> R copyReply(PeerRequest<R> request, R reply) {
        Class<?> type = request.getClass().getAnnotation(PeerMessage.class).reply();
        try {
            return (R) mapper.readValue(mapper.writeValueAsBytes(reply), type);
        } catch (IOException e) {
            throw new AssertionError("failed to encode or decode a reply", e);
        }
    }
}
