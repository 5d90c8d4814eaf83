import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON for the stand-ins. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		Json json = new Json(text);
		return json.value();
	}

	private void blanks() {
		while (this.at < this.text.length() && this.text.charAt(this.at) <= ' ') {
			this.at++;
		}
	}

	private Object value() {
		blanks();
		char first = this.text.charAt(this.at);
		if (first == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			this.at++;
			blanks();
			while (this.text.charAt(this.at) != '}') {
				String name = (String) value();
				blanks();
				this.at++;
				map.put(name, value());
				blanks();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
					blanks();
				}
			}
			this.at++;
			return map;
		}
		if (first == '[') {
			List<Object> list = new ArrayList<>();
			this.at++;
			blanks();
			while (this.text.charAt(this.at) != ']') {
				list.add(value());
				blanks();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
					blanks();
				}
			}
			this.at++;
			return list;
		}
		if (first == '"') {
			StringBuilder out = new StringBuilder();
			this.at++;
			while (this.text.charAt(this.at) != '"') {
				char c = this.text.charAt(this.at++);
				if (c == '\\') {
					c = this.text.charAt(this.at++);
					switch (c) {
						case 'n' -> c = '\n';
						case 't' -> c = '\t';
						case 'r' -> c = '\r';
						case 'u' -> {
							c = (char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16);
							this.at += 4;
						}
						default -> {
						}
					}
				}
				out.append(c);
			}
			this.at++;
			return out.toString();
		}
		int from = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(from, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> "";
			default -> (word.contains(".") || word.contains("e")) ? (Object) Double.valueOf(word) : Long.valueOf(word);
		};
	}

	static String quote(String text) {
		return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
	}

}
