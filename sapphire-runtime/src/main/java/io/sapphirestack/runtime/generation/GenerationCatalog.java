package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.record.ModelSpec;
import io.sapphirestack.core.record.ResumeSpec;
import java.util.Optional;

/** Configuration that generations need, read from the current records. Thread-safe. */
public interface GenerationCatalog {

    /**
     * Returns a model.
     *
     * @param name name that callers use
     * @return its specification, or empty if there is none
     */
    Optional<ModelSpec> findModel(String name);

    /**
     * Returns the failure detection and resume policy of a service.
     *
     * @param service engine service
     * @return its policy, or the default
     */
    ResumeSpec resumeSpec(String service);

    /**
     * Returns the priority of an account's generations.
     *
     * @param account client account
     * @return priority, 0 to 9
     */
    int priority(AccountId account);
}
