package io.sapphirestack.standins.demo;

/**
 * Line of the demonstration's table.
 *
 * @param done what was done
 * @param mustHold what had to hold
 * @param held whether it held
 * @param measured what was measured
 */
public record DemoRow(String done, String mustHold, boolean held, String measured) {}
