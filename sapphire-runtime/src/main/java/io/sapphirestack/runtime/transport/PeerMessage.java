package io.sapphirestack.runtime.transport;

import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Declares the message code and the reply type of a request between instances. Both the request and
 * its reply are records that Jackson can map.
 *
 * <p>Ranges of codes: 1 to 19 control, 20 to 39 generations, 40 to 59 dissemination.
 */
@Documented
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface PeerMessage {

    /** Returns the code of the message on the wire. The code of a removed message is not reused. */
    int code();

    /** Returns the type of the reply. */
    Class<?> reply();
}
