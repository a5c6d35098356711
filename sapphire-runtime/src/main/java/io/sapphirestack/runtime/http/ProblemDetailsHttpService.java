package io.sapphirestack.runtime.http;

import io.sapphirestack.core.error.Refusal;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionReuseStrategy;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.protocol.HttpProcessor;

/** HTTP service that responds to invalid HTTP requests with problem details. */
final class ProblemDetailsHttpService extends HttpService {

    ProblemDetailsHttpService(
            HttpProcessor processor,
            HttpServerRequestHandler handler,
            Http1Config config,
            ConnectionReuseStrategy reuse) {
        super(processor, handler, config, reuse, null);
    }

    @Override
    protected void handleException(HttpException failure, ClassicHttpResponse response) {
        response.setCode(toStatusCode(failure));
        if (response.getCode() < 400) {
            response.setCode(400);
        }
        ApiResponse problem =
                ApiResponse.problem(
                        Refusal.notExecuted(
                                response.getCode(),
                                "bad_request",
                                "parse",
                                "The request is not valid HTTP: " + failure.getMessage() + "."));
        response.setEntity(
                new ByteArrayEntity(
                        problem.body(), ContentType.parse(problem.contentType()), false));
    }
}
