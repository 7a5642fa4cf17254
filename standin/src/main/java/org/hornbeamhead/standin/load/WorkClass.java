package org.hornbeamhead.standin.load;

/**
 * A kind of request in a load.
 *
 * @param name the class's name in the operators' file
 * @param share its share of the model requests
 * @param questionTokens the length of what follows the dossier
 * @param answerTokens how many tokens are generated
 */
public record WorkClass(String name, double share, int questionTokens, int answerTokens) {}
