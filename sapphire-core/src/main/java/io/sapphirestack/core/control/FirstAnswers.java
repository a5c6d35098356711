package io.sapphirestack.core.control;

import io.sapphirestack.core.control.ControlSnapshot.Answer;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** First answers to commands by their random identifier, oldest first. Not thread-safe. */
final class FirstAnswers {

    private final int capacity;
    private final Map<String, ControlResult> answers = new LinkedHashMap<>();

    FirstAnswers(int capacity) {
        this.capacity = capacity;
    }

    Optional<ControlResult> find(String id) {
        return Optional.ofNullable(answers.get(id));
    }

    ControlResult keep(String id, ControlResult result) {
        answers.put(id, result);
        if (answers.size() > capacity) {
            Iterator<String> oldest = answers.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return result;
    }

    List<Answer> list() {
        return answers.entrySet().stream()
                .map(entry -> new Answer(entry.getKey(), entry.getValue()))
                .toList();
    }

    void restore(List<Answer> restored) {
        answers.clear();
        restored.forEach(answer -> answers.put(answer.id(), answer.result()));
    }
}
