import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON text into maps, lists, strings, numbers and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private char skipSpace() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char c = skipSpace();
        switch (c) {
            case '{':
                return map();
            case '[':
                return list();
            case '"':
                return string();
            default:
                return word();
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (skipSpace() != '}') {
            if (text.charAt(at) == ',') {
                at++;
                skipSpace();
            }
            String key = string();
            skipSpace();
            at++;
            map.put(key, value());
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        while (skipSpace() != ']') {
            if (text.charAt(at) == ',') {
                at++;
            }
            list.add(value());
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                if (c == 'u') {
                    c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                    at += 4;
                } else {
                    c = c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c;
                }
            }
            out.append(c);
        }
        at++;
        return out.toString();
    }

    private Object word() {
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        switch (word) {
            case "true":
                return Boolean.TRUE;
            case "false":
                return Boolean.FALSE;
            case "null":
                return null;
            default:
                return Double.valueOf(word);
        }
    }
}
