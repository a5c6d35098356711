package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.record.ModelSpec;
import io.sapphirestack.core.record.ResumeSpec;
import java.util.Optional;

/** Access to the configuration records that the generation service needs. Thread-safe. */
public interface GenerationCatalog {

    /**
     * Returns a model.
     *
     * @param name name of the {@code model} record, as used by callers
     * @return specification, or empty if there is no such model
     */
    Optional<ModelSpec> findModel(String name);

    /**
     * Returns the failure detection and resume policy of a service.
     *
     * @param service engine service
     * @return policy of the service, or the default policy if it has none
     */
    ResumeSpec resumeSpec(String service);

    /**
     * Returns the priority of an account's generations.
     *
     * @param account client account
     * @return priority from 0 to 9
     */
    int priority(AccountId account);
}
